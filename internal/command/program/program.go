// Package program implements command-line programs with subcommands. A Program
// selects the Command that the first argument names, parses its flags, prints its
// help and runs it. Commands register themselves during initialisation, before
// main calls Run; a Program is not safe for concurrent use.
//
// # Usage
//
//	var commands = program.Program{
//		Name:  "cicadaloom",
//		About: "serves many models from fewer accelerators",
//	}
//
//	func init() {
//		commands.Register(program.Command{
//			Name:    "version",
//			Summary: "print the program's version",
//			Help:    "Prints the version.\n",
//			Prepare: func(flags *flag.FlagSet) program.Runner { return version },
//		})
//	}
//
//	os.Exit(commands.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
//
// `PROGRAM -h` lists the commands. `PROGRAM COMMAND -h` and `PROGRAM help COMMAND`
// print the help of a command to standard output.
package program

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitInvalidInput is for arguments, settings or a document that the program
	// refuses.
	ExitInvalidInput = 2
)

// Command is one subcommand of a program.
type Command struct {
	Name    string
	Summary string
	// Help is the text that -h prints above the flags.
	Help string
	// AcceptsArguments is true if the command accepts positional arguments.
	AcceptsArguments bool
	// Prepare declares the flags and returns the function to run after they are
	// parsed.
	Prepare func(flags *flag.FlagSet) Runner
}

// Runner runs a command until it is done or the context is cancelled. args are the
// positional arguments.
type Runner func(ctx context.Context, to Streams, args []string) error

// Streams are the outputs of a command: Out for results, Err for everything else.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// inputError is an error caused by invalid input of the user.
type inputError struct {
	cause error
}

// Error implements error.
func (e inputError) Error() string {
	return e.cause.Error()
}

// InputErrorf formats an error for which Run returns ExitInvalidInput.
func InputErrorf(format string, args ...any) error {
	return inputError{
		cause: errors.Errorf(format, args...),
	}
}

// Program is a command-line program with subcommands. Name must be set.
type Program struct {
	Name     string
	About    string
	commands map[string]Command
}

// Register adds a command. It is called by an init function in the file of each
// command.
func (p *Program) Register(c Command) {
	if p.commands == nil {
		p.commands = make(map[string]Command)
	}
	p.commands[c.Name] = c
}

// Names returns the sorted names of all commands.
func (p *Program) Names() []string {
	names := make([]string, 0, len(p.commands))
	for name := range p.commands {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs the command that the arguments name and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string, out, err io.Writer) int {
	streams := Streams{
		Out: out,
		Err: err,
	}
	switch {
	case len(args) == 0:
		p.printOverview(err)
		return ExitInvalidInput
	case args[0] == "help" && len(args) > 1:
		return p.runCommand(ctx, streams, args[1], []string{"-h"})
	case args[0] == "help" || isHelpFlag(args[0]):
		p.printOverview(out)
		return ExitOK
	default:
		return p.runCommand(ctx, streams, args[0], args[1:])
	}
}

func isHelpFlag(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help"
}

func (p *Program) runCommand(ctx context.Context, streams Streams, name string, args []string) int {
	command, found := p.commands[name]
	if !found {
		fmt.Fprintf(streams.Err, "%s: command: found %q, allowed one of those that %s -h lists\n", p.Name, name, p.Name)
		return ExitInvalidInput
	}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(helpOutput(streams, args))
	run := command.Prepare(flags)
	flags.Usage = func() { p.printHelp(command, flags) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitInvalidInput
	}
	if !command.AcceptsArguments && flags.NArg() > 0 {
		fmt.Fprintf(streams.Err, "%s %s: arguments: found %q, allowed only flags\n", p.Name, name, flags.Args())
		return ExitInvalidInput
	}
	return p.reportResult(streams, name, run(ctx, streams, flags.Args()))
}

// helpOutput returns the output for help and flag errors: Out if the user asked
// for help, otherwise Err.
func helpOutput(streams Streams, args []string) io.Writer {
	for _, arg := range args {
		if isHelpFlag(arg) {
			return streams.Out
		}
	}
	return streams.Err
}

// reportResult prints the error of a command, if any, and returns the exit code.
func (p *Program) reportResult(streams Streams, name string, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(streams.Err, "%s %s: %v\n", p.Name, name, err)
	var input inputError
	if errors.As(err, &input) {
		return ExitInvalidInput
	}
	return ExitFailure
}

func (p *Program) printHelp(c Command, flags *flag.FlagSet) {
	out := flags.Output()
	fmt.Fprintf(out, "%s %s: %s\n\n%s\nFlags:\n", p.Name, c.Name, c.Summary, c.Help)
	flags.PrintDefaults()
}

func (p *Program) printOverview(out io.Writer) {
	fmt.Fprintf(out, "%s %s.\n\nUsage: %s COMMAND [FLAGS]\n\nCommands:\n", p.Name, p.About, p.Name)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range p.Names() {
		fmt.Fprintf(table, "  %s\t%s\n", name, p.commands[name].Summary)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "\n%s COMMAND -h shows a command's page.\n", p.Name)
}
