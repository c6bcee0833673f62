package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/platform"
	"cicadaloom/internal/traffic/host"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 5 * time.Millisecond
	adminToken   = "admin-token-0123456789-xyz"
)

// skipUnlessMeasuring skips a test unless CICADALOOM_MEASURE is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("CICADALOOM_MEASURE") == "" {
		t.Skip("set CICADALOOM_MEASURE to measure")
	}
}

// fleet is a platform and its entry hosts in this process. Settings are the
// defaults, adjusted by changeSettings if it is not nil.
type fleet struct {
	t              *testing.T
	platform       *platform.Platform
	hosts          []*host.Host
	changeSettings func(*settings.Settings)
}

func newFleet(t *testing.T, hosts, engines int, changeSettings func(*settings.Settings)) *fleet {
	running, err := platform.Start(platform.Options{
		Location: platform.Location{
			DataCentre: "brest-a",
			Region:     "finistere",
		},
		LoadsPerSecond: 1000,
	})
	require.NoError(t, err)
	f := &fleet{
		t:              t,
		platform:       running,
		changeSettings: changeSettings,
	}
	t.Cleanup(f.stop)
	for i := range engines {
		_, err := running.AddEngine(ident.ServerName(fmt.Sprintf("brest-a-gpu-%03d", i)), engine.Options{
			Memory: 64 * unit.Gibibyte,
		})
		require.NoError(t, err)
	}
	for i := range hosts {
		f.addHost(ident.HostID(fmt.Sprintf("brest-a-entry-%d", i)))
	}
	return f
}

func (f *fleet) addHost(name ident.HostID) {
	loaded := f.platform.HostSettings(name)
	loaded.Operators.AdminToken = adminToken
	if f.changeSettings != nil {
		f.changeSettings(&loaded)
	}
	started, err := host.Start(loaded, zap.NewNop())
	require.NoError(f.t, err)
	f.hosts = append(f.hosts, started)
	require.NoError(f.t, f.platform.AddEntryHost(name, started.PeersAddress))
}

func (f *fleet) stop() {
	for _, running := range f.hosts {
		require.NoError(f.t, running.Stop(context.Background()))
	}
	f.platform.Stop()
}

// teamDocument returns a team's document with a number of models. The share of its
// class alternates with the edit's number, so that two consecutive edits differ.
func teamDocument(models, edit int) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, `{"Team": "kerlouan", "DefaultClass": "Crew", "Classes": [{"Name": "Crew", "Share": %d}], "Models": [`, 30+edit%2)
	for i := range models {
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, `{"Name": "briefing-%04d", "Version": "1", "Memory": "4GiB", "Replicas": 1, "MaxReplicas": 2, "MayRepeat": true,
"Promise": {"FirstToken": "1.6s", "BetweenTokens": "62ms"}}`, i)
	}
	text.WriteString("]}")
	return text.Bytes()
}

// putDocument puts a document with base as its revision until it is accepted, and
// returns the new revision.
func (f *fleet) putDocument(models, edit int, base int64) int64 {
	var revision int64
	require.Eventually(f.t, func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.hosts[edit%len(f.hosts)].OperatorsAddress+"/admin/documents/kerlouan", bytes.NewReader(teamDocument(models, edit)))
		require.NoError(f.t, err)
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatInt(base, 10)))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
		var accepted struct{ Revision int64 }
		body, err := io.ReadAll(response.Body)
		require.NoError(f.t, err)
		require.NoError(f.t, json.Unmarshal(body, &accepted))
		revision = accepted.Revision
		return true
	}, waitTimeout, pollInterval)
	return revision
}

// metrics returns the values of a host's metrics by name, with labels.
func (f *fleet) metrics(running *host.Host) map[string]float64 {
	request, err := http.NewRequest(http.MethodGet, "http://"+running.OperatorsAddress+"/metrics", http.NoBody)
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer "+adminToken)
	response, err := http.DefaultClient.Do(request)
	require.NoError(f.t, err)
	defer response.Body.Close()
	values := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			values[name] = number
		}
	}
	return values
}

// waitForMetric waits until a metric is at least minimum on every host.
func (f *fleet) waitForMetric(name string, minimum float64) {
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			return f.metrics(running)[name] >= minimum
		}, waitTimeout, pollInterval)
	}
}
