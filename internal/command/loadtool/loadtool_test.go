package loadtool

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/load/demand"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func runTool(arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	status := Run(context.Background(), arguments, &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func TestInvalidCommandLinesReportError(t *testing.T) {
	for _, arguments := range [][]string{
		{},
		{"walk"},
		{"help", "walk"},
		{"run", "-speed", "3"},
		{"run", "extra"},
		{"run", "-plan", "x"},
		{"plan"},
		{"plan", "-kerlouan", "-nour"},
		{"plan", "-nour", "-scale", "0"},
		{"experiment"},
		{"experiment", "-nour", "-scale", "50"},
		{"experiment", "-nour", "-case", "flood"},
		{"experiment", "-nour", "-policies", "Best"},
		{"experiment", "-nour", "-seeds", "one"},
		{"experiment", "-nour", "-seeds", ""},
		{"experiment", "-nour", "-sweep", "0"},
		{"experiment", "-nour", "-log", "loud"},
	} {
		status, stdout, stderr := runTool(arguments...)
		require.Equal(t, program.ExitInvalidInput, status, arguments)
		require.Empty(t, stdout, arguments)
		require.NotEmpty(t, stderr, arguments)
	}
	status, _, stderr := runTool("run", "-plan", "no-such-file", "-targets", "127.0.0.1:1")
	require.Equal(t, program.ExitFailure, status)
	require.Contains(t, stderr, "no-such-file")
}

func TestEveryCommandHasHelpPage(t *testing.T) {
	for _, name := range []string{"run", "plan", "experiment"} {
		status, page, _ := runTool("help", name)
		require.Equal(t, program.ExitOK, status)
		require.Contains(t, page, "Flags:")
		status, _, _ = runTool(name, "-h")
		require.Equal(t, program.ExitOK, status)
	}
}

var marker = regexp.MustCompile(`q[0-9a-f]{8}-[0-9]{7}`)

// fakeHost is an entry host and an engine: it answers chats in one piece, echoes
// service requests, and reports counters of 0.
func fakeHost(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/stats":
		fmt.Fprint(w, `{"TokensGenerated":0,"Overcommits":0}`)
	case "/admin/status":
		fmt.Fprint(w, `{"Moves":{}}`)
	case "/v1/chat/completions":
		fmt.Fprintf(w, `{"choices":[{"message":{"content":"echo of %s"}}],"usage":{"completion_tokens":4}}`, marker.Find(body))
	default:
		_, _ = w.Write(body)
	}
}

func TestRunMeasuresLoad(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(fakeHost))
	defer server.Close()
	plan := filepath.Join(t.TempDir(), "load.json")
	out := filepath.Join(t.TempDir(), "result.json")
	require.NoError(t, os.WriteFile(plan, []byte(`{
  "Name": "test", "RequestsPerSecond": 100,
  "Models": [{"Name": "briefing", "Weight": 3, "FirstToken": "5s", "BetweenTokens": "1s", "StreamedPercent": 0}],
  "Services": [{"Name": "desk", "Weight": 1, "FirstToken": "5s", "KeyedPercent": 100}],
  "Lengths": [{"Words": 5, "Tokens": 4, "Weight": 1}]
}`), 0o600))
	address := server.Listener.Addr().String()
	status, table, stderr := runTool("run", "-plan", plan, "-targets", address, "-seed", "7", "-for", "300ms",
		"-accelerators", "4", "-status", server.URL, "-token", "t", "-engines", address, "-out", out)
	require.Equal(t, program.ExitOK, status, stderr)
	require.Regexp(t, `attainment +100\.00%`, table)
	require.Regexp(t, `attainment per accelerator +25\.000% of 4`, table)
	require.Regexp(t, `moves +0`, table)
	body, err := os.ReadFile(out)
	require.NoError(t, err)
	require.Contains(t, string(body), `"Attainment": 1,`)
}

func TestPlanOutputIsValidPlan(t *testing.T) {
	for _, user := range []string{"-kerlouan", "-nour"} {
		status, text, _ := runTool("plan", user)
		require.Equal(t, program.ExitOK, status)
		_, err := demand.Read([]byte(text))
		require.NoError(t, err)
		status, text, _ = runTool("plan", user, "-document")
		require.Equal(t, program.ExitOK, status)
		require.Contains(t, text, `"DefaultClass"`)
	}
}
