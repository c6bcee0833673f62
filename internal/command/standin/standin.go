// Package standin is the command line of the platform's stand-ins. Each command
// is one stand-in as a process.
//
// # Usage
//
//	standin engine -listen 127.0.0.1:0 -name gpu-1 -register 127.0.0.1:9100
//	standin help engine
//
// A stand-in prints one line on its standard output when it is ready,
//
//	listening 127.0.0.1:40123
//
// and ends at SIGTERM or SIGINT when its requests in flight have ended.
package standin

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"cicadaloom/internal/command/program"
)

var commands = program.Program{
	Name:  "standin",
	About: "takes the place of one part of the platform",
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
