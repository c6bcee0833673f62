// Package cicadaloom is the command line of the program cicadaloom: the entry host
// (serve, gateway), the operators' client (document, status, explain, report, drain)
// and offline commands (check, demo, reference, version).
//
// Each command has a file of its own, which holds its help page and registers the
// command in init. The client commands send requests to the administration API of
// an entry host through client.
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

// Main runs the command that the process's arguments name and returns the exit code.
func Main() int {
	return commands.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)
}
