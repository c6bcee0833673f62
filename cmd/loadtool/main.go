// Command loadtool asks entry hosts as callers would and measures the answers:
// see internal/command/loadtool.
package main

import "cicadaloom/internal/command/loadtool"

func main() { loadtool.Main() }
