package cicadaloom

import (
	"flag"
	"fmt"
	"runtime"
)

// Version is this program's version; CHANGELOG.md says what is in it.
const Version = "0.1.0"

func init() {
	register(command{
		name:    "version",
		summary: "print the program's version",
		help:    "Prints the version of cicadaloom and of the Go release that built it.\n",
		prepare: func(*flag.FlagSet) runner { return version },
	})
}

func version(to streams, _ []string) error {
	fmt.Fprintf(to.out, "cicadaloom %s %s\n", Version, runtime.Version())
	return nil
}
