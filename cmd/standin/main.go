// Command standin runs a stand-in for one part of the platform in tests, such as the
// key-value service or an engine: see internal/command/standin.
package main

import (
	"os"

	"cicadaloom/internal/command/standin"
)

func main() {
	os.Exit(standin.Main())
}
