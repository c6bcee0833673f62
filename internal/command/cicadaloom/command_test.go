package cicadaloom

import (
	"bytes"
	"context"
	"os"
	"testing"

	"cicadaloom/internal/command/program"

	"github.com/stretchr/testify/require"
)

func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := commands.Run(context.Background(), args, &out, &err)
	return code, out.String(), err.String()
}

// The page that operators read is what the code says.
func TestSettingsPageIsUpToDate(t *testing.T) {
	code, out, _ := run("reference")
	require.Equal(t, program.ExitOK, code)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, string(page), out, "run: go run ./cmd/cicadaloom reference > docs/SETTINGS.md")
}

func TestEveryCommandHasAPage(t *testing.T) {
	for _, name := range commands.Names() {
		code, out, err := run(name, "-h")
		require.Equal(t, program.ExitOK, code, name)
		require.Contains(t, out, "Flags:", name)
		require.Empty(t, err, name)
	}
}

func TestWrongCommandLines(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"frobnicate"},
		{"check"},
		{"check", "-settings", "a", "-document", "b"},
		{"check", "-document", "no-such-file"},
		{"serve"},
		{"document"},
		{"document", "put"},
		{"document", "frobnicate", "-team", "kerlouan"},
		{"report", "-format", "xml"},
		{"status", "extra"},
	} {
		code, out, err := run(args...)
		require.Equal(t, program.ExitInput, code, args)
		require.Empty(t, out, args)
		require.NotEmpty(t, err, args)
	}
}
