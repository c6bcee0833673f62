package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"cicadaloom/internal/command/program"
)

// Version is this program's version; CHANGELOG.md says what is in it.
const Version = "0.1.0"

func init() {
	commands.Register(program.Command{
		Name:    "version",
		Summary: "print the program's version",
		Help:    "Prints the version of cicadaloom and of the Go release that built it.\n",
		Prepare: func(*flag.FlagSet) program.Runner { return version },
	})
}

func version(_ context.Context, to program.Streams, _ []string) error {
	fmt.Fprintf(to.Out, "cicadaloom %s %s\n", Version, runtime.Version())
	return nil
}
