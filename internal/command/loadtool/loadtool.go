// Package loadtool is the command line of the load tool: it asks entry hosts as
// their callers would, and measures the answers.
//
// # Usage
//
//	loadtool plan -kerlouan > kerlouan.load.json
//	loadtool run -plan kerlouan.load.json -targets 127.0.0.1:8080 -seed 7 -for 30s
//	loadtool experiment -case burst -policies LeastCost,Random -seeds 1,2,3
//	loadtool help run
//
// Results go to standard output, everything else to standard error. The exit
// code is 0 when the command was carried out, whatever it measured.
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

// Main runs the command line of the process and gives the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs a command line until it is done or the context ends, and gives the
// exit code.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	return commands.Run(ctx, arguments, stdout, stderr)
}
