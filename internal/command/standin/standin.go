// Package standin is the command line of the platform's stand-ins: servers that take
// the place of the key-value service, host list, weight store, engines, plain services
// and network in tests. Each command runs one stand-in as a process, and registers
// itself in init.
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
// (with a second field "admin=ADDRESS" where the fault switches have an address of their
// own), and after SIGTERM or SIGINT it exits once its requests in flight have ended.
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
