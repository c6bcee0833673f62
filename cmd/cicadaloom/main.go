// Command cicadaloom is the program that runs on every entry host, and the
// operators' tool.
package main

import (
	"os"

	"cicadaloom/internal/command/cicadaloom"
)

func main() {
	os.Exit(cicadaloom.Main())
}
