// Package loadtool is the command line of the load tool: it sends requests to entry
// hosts as callers do, and measures the answers. Command run loads a running fleet,
// experiment starts fleets in its own process and compares routing policies, plan
// prints example load plans. Each command has a file of its own and registers itself
// in init.
//
// # Usage
//
//	loadtool plan -kerlouan > kerlouan.load.json
//	loadtool run -plan kerlouan.load.json -targets 127.0.0.1:8080 -seed 7 -for 30s
//	loadtool experiment -case burst -policies LeastCost,Random -seeds 1,2,3
//	loadtool help run
//
// Results go to standard output, everything else to standard error. The exit
// code is 0 if the command was carried out, whatever it measured.
package loadtool

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cicadaloom/internal/command/program"
)

var commands = program.Program{
	Name:  "loadtool",
	About: "asks entry hosts as their callers would, and measures the answers",
}

// Main runs the command line of the process and returns the exit code. SIGTERM and
// SIGINT end the context.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs a command line until it is done or the context ends, and returns the
// exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	return commands.Run(ctx, arguments, stdout, stderr)
}
