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
package cicadaloom

import (
	"context"
	"os"

	"cicadaloom/internal/command/program"
)

var commands = program.Program{
	Name:  "cicadaloom",
	About: "serves many models from fewer accelerators",
}

// Main runs the command that the arguments name and gives the exit code.
func Main() int {
	return commands.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)
}
