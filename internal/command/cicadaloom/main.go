// Package cicadaloom is the command line of the program cicadaloom.
//
// Each command has a file of its own, registers itself there, and has its help
// beside it.
//
// # Usage
//
//	func main() {
//		os.Exit(cicadaloom.Main())
//	}
//
// Exit codes: 0 for success, 1 for a failure, 2 for bad input (arguments,
// settings or a document that can't be accepted).
package cicadaloom

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitInput   = 2
)

// command is one command of the program.
type command struct {
	name    string
	summary string
	// help is the page that -h shows, above the flags.
	help string
	// prepare declares the flags and gives what runs once they are parsed.
	prepare func(flags *flag.FlagSet) runner
}

// runner runs a command with the arguments that are no flags.
type runner func(streams streams, args []string) error

// streams are where a command writes.
type streams struct {
	out io.Writer
	err io.Writer
}

var commands = map[string]command{}

func register(c command) {
	commands[c.name] = c
}

// inputError is a fault in what the user gave.
type inputError struct {
	cause error
}

// Error implements error.
func (e inputError) Error() string {
	return e.cause.Error()
}

func badInput(format string, args ...any) error {
	return inputError{
		cause: errors.Errorf(format, args...),
	}
}

// Main runs the command that the arguments name and gives the exit code.
func Main() int {
	return Run(os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs the command that args name.
func Run(args []string, out, err io.Writer) int {
	to := streams{
		out: out,
		err: err,
	}
	if len(args) == 0 {
		overview(err)
		return exitInput
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		overview(out)
		return exitOK
	}
	chosen, known := commands[args[0]]
	if !known {
		fmt.Fprintf(err, "cicadaloom: command: found %q, allowed one of those that cicadaloom -h lists\n", args[0])
		return exitInput
	}
	return chosen.run(to, args[1:])
}

func (c command) run(to streams, args []string) int {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(to.err)
	run := c.prepare(flags)
	flags.Usage = func() { c.usage(flags) }
	for _, arg := range args {
		if arg == "-h" || arg == "-help" || arg == "--help" {
			flags.SetOutput(to.out)
			break
		}
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitInput
	}
	err := run(to, flags.Args())
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(to.err, "cicadaloom %s: %v\n", c.name, err)
	var input inputError
	if errors.As(err, &input) {
		return exitInput
	}
	return exitFailure
}

func (c command) usage(flags *flag.FlagSet) {
	out := flags.Output()
	fmt.Fprintf(out, "cicadaloom %s: %s\n\n%s\nFlags:\n", c.name, c.summary, c.help)
	flags.PrintDefaults()
}

func overview(out io.Writer) {
	fmt.Fprint(out, "cicadaloom serves many models from fewer accelerators.\n\nUsage: cicadaloom COMMAND [FLAGS]\n\n")
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range names {
		fmt.Fprintf(table, "  %s\t%s\n", name, commands[name].summary)
	}
	_ = table.Flush()
	fmt.Fprint(out, "\ncicadaloom COMMAND -h shows a command's page.\n")
}
