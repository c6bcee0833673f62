// Command cicadaloom runs an entry host, and is the operators' command line client:
// see internal/command/cicadaloom.
package main

import (
	"os"

	"cicadaloom/internal/command/cicadaloom"
)

func main() {
	os.Exit(cicadaloom.Main())
}
