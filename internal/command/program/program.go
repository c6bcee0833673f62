// Package program is the frame of a program with commands: it finds the command
// that the arguments name, shows its page, reads its flags and runs it.
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
// `PROGRAM -h` lists the commands, `PROGRAM COMMAND -h` and `PROGRAM help
// COMMAND` show a command's page on standard output.
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
	// ExitInput is for bad input: arguments, settings or a document that can't
	// be accepted.
	ExitInput = 2
)

// Command is one command of a program.
type Command struct {
	Name    string
	Summary string
	// Help is the page that -h shows, above the flags.
	Help string
	// Arguments tells that the command takes more than flags.
	Arguments bool
	// Prepare declares the flags and gives what runs once they are parsed.
	Prepare func(flags *flag.FlagSet) Runner
}

// Runner runs a command until it is done or the context ends. args are the
// arguments that are no flags.
type Runner func(ctx context.Context, to Streams, args []string) error

// Streams are where a command writes: results to Out, everything else to Err.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// inputError is a fault in what the user gave.
type inputError struct {
	cause error
}

// Error implements error.
func (e inputError) Error() string {
	return e.cause.Error()
}

// BadInput makes an error that ends the program with ExitInput.
func BadInput(format string, args ...any) error {
	return inputError{
		cause: errors.Errorf(format, args...),
	}
}

// Program is a program with commands. Name must be set.
type Program struct {
	Name     string
	About    string
	commands map[string]Command
}

// Register adds a command; each command's file does so from init.
func (p *Program) Register(c Command) {
	if p.commands == nil {
		p.commands = make(map[string]Command)
	}
	p.commands[c.Name] = c
}

// Names gives the names of all commands, sorted.
func (p *Program) Names() []string {
	names := make([]string, 0, len(p.commands))
	for name := range p.commands {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Run runs the command that the arguments name and gives the exit code.
func (p *Program) Run(ctx context.Context, args []string, out, err io.Writer) int {
	to := Streams{
		Out: out,
		Err: err,
	}
	switch {
	case len(args) == 0:
		p.overview(err)
		return ExitInput
	case args[0] == "help" && len(args) > 1:
		return p.run(ctx, to, args[1], []string{"-h"})
	case args[0] == "help" || isHelp(args[0]):
		p.overview(out)
		return ExitOK
	default:
		return p.run(ctx, to, args[0], args[1:])
	}
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help"
}

func (p *Program) run(ctx context.Context, to Streams, name string, args []string) int {
	chosen, known := p.commands[name]
	if !known {
		fmt.Fprintf(to.Err, "%s: command: found %q, allowed one of those that %s -h lists\n", p.Name, name, p.Name)
		return ExitInput
	}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(pageStream(to, args))
	run := chosen.Prepare(flags)
	flags.Usage = func() { p.page(chosen, flags) }
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitInput
	}
	if !chosen.Arguments && flags.NArg() > 0 {
		fmt.Fprintf(to.Err, "%s %s: arguments: found %q, allowed only flags\n", p.Name, name, flags.Args())
		return ExitInput
	}
	return p.exitCode(to, name, run(ctx, to, flags.Args()))
}

// pageStream gives where a page goes: to those who asked for it, or to the
// errors with the fault in the flags.
func pageStream(to Streams, args []string) io.Writer {
	for _, arg := range args {
		if isHelp(arg) {
			return to.Out
		}
	}
	return to.Err
}

func (p *Program) exitCode(to Streams, name string, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(to.Err, "%s %s: %v\n", p.Name, name, err)
	var input inputError
	if errors.As(err, &input) {
		return ExitInput
	}
	return ExitFailure
}

func (p *Program) page(c Command, flags *flag.FlagSet) {
	out := flags.Output()
	fmt.Fprintf(out, "%s %s: %s\n\n%s\nFlags:\n", p.Name, c.Name, c.Summary, c.Help)
	flags.PrintDefaults()
}

func (p *Program) overview(out io.Writer) {
	fmt.Fprintf(out, "%s %s.\n\nUsage: %s COMMAND [FLAGS]\n\nCommands:\n", p.Name, p.About, p.Name)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range p.Names() {
		fmt.Fprintf(table, "  %s\t%s\n", name, p.commands[name].Summary)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "\n%s COMMAND -h shows a command's page.\n", p.Name)
}
