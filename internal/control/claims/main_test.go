package claims

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets the defaults of the random test: runs long enough for another host to
// take over a partition in the middle of one. Flags on the command line still
// override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.steps":  "150",
		"rapid.checks": "500",
	} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}
