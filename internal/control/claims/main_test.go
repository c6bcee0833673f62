package claims

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain makes the model test's runs long enough for a takeover to happen in
// the middle of them. The command line still goes before.
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
