package cicadaloom

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"cicadaloom/internal/command/program"

	"github.com/stretchr/testify/require"
)

func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	code := commands.Run(context.Background(), args, &out, &err)
	return code, out.String(), err.String()
}

// docs/SETTINGS.md is the output of the reference command.
func TestSettingsPageIsUpToDate(t *testing.T) {
	code, out, _ := run("reference")
	require.Equal(t, program.ExitOK, code)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, string(page), out, "run: go run ./cmd/cicadaloom reference > docs/SETTINGS.md")
}

func TestEveryCommandHasHelpPage(t *testing.T) {
	for _, name := range commands.Names() {
		code, out, err := run(name, "-h")
		require.Equal(t, program.ExitOK, code, name)
		require.Contains(t, out, "Flags:", name)
		require.Empty(t, err, name)
	}
}

// The example files pass the check that operators are told to run before they use a
// copy. A file that is neither settings nor document.json fails.
func TestExamplesPassCheck(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*.json")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 4)
	for _, file := range files {
		kind := "-settings"
		if filepath.Base(file) == "document.json" {
			kind = "-document"
		}
		code, out, stderr := run("check", kind, file)
		require.Equal(t, program.ExitOK, code, stderr)
		require.Contains(t, out, "is in order", file)
	}
}

func TestInvalidCommandLinesExitWithInputError(t *testing.T) {
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
		{"drain", "extra"},
		{"explain", "one", "two"},
		{"explain", "-format", "html"},
	} {
		code, out, err := run(args...)
		require.Equal(t, program.ExitInvalidInput, code, args)
		require.Empty(t, out, args)
		require.NotEmpty(t, err, args)
	}
}

// A gateway host is asked with the request's parts, and without the operator's token.
func TestExplainAsksGatewayHost(t *testing.T) {
	t.Setenv(tokenVariable, "secret")
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.NotContains(t, r.Header.Get("Authorization"), "secret")
		_, _ = io.WriteString(w, r.URL.Path+" "+r.URL.Query().Encode())
	}))
	defer host.Close()
	code, out, stderr := run("explain", "-gateway", host.URL, "-host", "boats.example", "-path", "/dispatch/7", "-tokens", "80")
	require.Equal(t, program.ExitOK, code, stderr)
	require.Equal(t, "/explain format=text&host=boats.example&path=%2Fdispatch%2F7&tokens=80", out)
}
