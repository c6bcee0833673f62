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
// and ends at SIGTERM or SIGINT when its requests in flight have ended. The
// exit status is 0 then, 1 after a failure, and 2 for a wrong command line.
package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// The exit statuses.
const (
	exitDone    = 0
	exitFailure = 1
	exitUsage   = 2
)

// errUsage tells that the command line is wrong. What is wrong with it has
// been printed.
var errUsage = errors.New("wrong command line")

// command is one stand-in on the command line.
type command struct {
	name    string
	summary string
	help    string
	// prepare declares the command's flags and returns what runs it once the
	// flags are read.
	prepare func(flags *flag.FlagSet) runner
}

// runner runs a stand-in until the context ends.
type runner func(ctx context.Context, stdout io.Writer) error

var commands = map[string]command{}

// register adds a command; each command's file does so from init.
func register(c command) {
	commands[c.name] = c
}

// Main runs the command line of the process and ends it.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// Run runs a command line until it is done or the context ends, and returns
// the exit status.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	err := dispatch(ctx, arguments, stdout, stderr)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		printf(stderr, "standin: %v\n", err)
		return exitFailure
	}
}

func dispatch(ctx context.Context, arguments []string, stdout, stderr io.Writer) error {
	if len(arguments) == 0 {
		printOverview(stderr)
		return errUsage
	}
	if arguments[0] == "help" {
		return help(arguments[1:], stdout, stderr)
	}
	c, found := commands[arguments[0]]
	if !found {
		printf(stderr, "standin: no command %q\n", arguments[0])
		printOverview(stderr)
		return errUsage
	}
	flags := c.flags(stderr)
	run := c.prepare(flags)
	if err := flags.Parse(arguments[1:]); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errUsage
	}
	if flags.NArg() > 0 {
		printf(stderr, "standin %s: unexpected %q\n", c.name, flags.Arg(0))
		return errUsage
	}
	return run(ctx, stdout)
}

func (c *command) flags(output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(output)
	flags.Usage = func() {
		printf(output, "standin %s: %s\n\n%s\nFlags:\n", c.name, c.summary, c.help)
		flags.PrintDefaults()
	}
	return flags
}

func help(arguments []string, stdout, stderr io.Writer) error {
	if len(arguments) == 0 {
		printOverview(stdout)
		return nil
	}
	c, found := commands[arguments[0]]
	if !found {
		printf(stderr, "standin: no command %q\n", arguments[0])
		return errUsage
	}
	flags := c.flags(stdout)
	c.prepare(flags)
	flags.Usage()
	return nil
}

func printOverview(to io.Writer) {
	printf(to, "Usage: standin COMMAND [flags]\n\nCommands:\n")
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		printf(to, "  %-10s %s\n", name, commands[name].summary)
	}
	printf(to, "  %-10s %s\n", "help", "show a command's help page")
}

// printf prints for a person or a script; if these are gone there is nobody to tell.
func printf(to io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(to, format, values...)
}
