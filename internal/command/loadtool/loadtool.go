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
// status is 0 when the command was carried out, whatever it measured, 1 after a
// failure, and 2 for a wrong command line.
package loadtool

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

// usage says what is wrong with a command line.
func usage(to streams, format string, values ...any) error {
	printf(to.err, "loadtool: "+format+"\n", values...)
	return errUsage
}

// command is one command of the load tool.
type command struct {
	name    string
	summary string
	help    string
	// prepare declares the command's flags and returns what runs it once the
	// flags are read.
	prepare func(flags *flag.FlagSet) runner
}

// runner carries a command out, or gives it up when the context ends.
type runner func(ctx context.Context, to streams) error

// streams are where a command writes: results to out, the rest to err.
type streams struct {
	out io.Writer
	err io.Writer
}

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

// Run runs a command line until it is done or the context ends, and returns the
// exit status.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) int {
	err := dispatch(ctx, arguments, stdout, stderr)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		printf(stderr, "loadtool: %v\n", err)
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
		printf(stderr, "loadtool: no command %q\n", arguments[0])
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
		printf(stderr, "loadtool %s: unexpected %q\n", c.name, flags.Arg(0))
		return errUsage
	}
	return run(ctx, streams{
		out: stdout,
		err: stderr,
	})
}

func (c *command) flags(output io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(output)
	flags.Usage = func() {
		printf(output, "loadtool %s: %s\n\n%s\nFlags:\n", c.name, c.summary, c.help)
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
		printf(stderr, "loadtool: no command %q\n", arguments[0])
		return errUsage
	}
	flags := c.flags(stdout)
	c.prepare(flags)
	flags.Usage()
	return nil
}

func printOverview(to io.Writer) {
	printf(to, "Usage: loadtool COMMAND [flags]\n\nCommands:\n")
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		printf(to, "  %-10s %s\n", name, commands[name].summary)
	}
	printf(to, "  %-10s %s\n", "help", "show a command's help page")
}

// printf prints for a person or a script; if these are gone there is nobody to tell.
func printf(to io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(to, format, values...)
}
