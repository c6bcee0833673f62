// Command standin takes the place of one part of the platform in tests: see
// internal/command/standin.
package main

import (
	"os"

	"cicadaloom/internal/command/standin"
)

func main() {
	os.Exit(standin.Main())
}
