// Command loadtool asks entry hosts as callers would and measures the answers:
// see internal/command/loadtool.
package main

import (
	"os"

	"cicadaloom/internal/command/loadtool"
)

func main() {
	os.Exit(loadtool.Main())
}
