// Command loadtool sends requests to entry hosts as callers do, and measures the
// answers: see internal/command/loadtool.
package main

import (
	"os"

	"cicadaloom/internal/command/loadtool"
)

func main() {
	os.Exit(loadtool.Main())
}
