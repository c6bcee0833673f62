package host

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/plain"
	"cicadaloom/internal/standin/platform"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	adminToken   = "admin-token-0123456789"
)

// fleet is a simulated platform with entry hosts, all in this process.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	hosts    []*Host
	// linkBudget is the link budget of hosts that are added later.
	linkBudget unit.Bytes
}

func newFleet(t *testing.T, engines, hosts int) *fleet {
	t.Helper()
	running, err := platform.Start(platform.Options{
		Location: platform.Location{
			DataCentre: "brest-a",
			Region:     "finistere",
		},
		LoadsPerSecond: 100,
	})
	require.NoError(t, err)
	f := &fleet{
		t:        t,
		platform: running,
	}
	t.Cleanup(f.stop)
	for i := range engines {
		_, err := running.AddEngine(ident.ServerName(fmt.Sprintf("gpu-%d", i)), engine.Options{})
		require.NoError(t, err)
	}
	for i := range hosts {
		f.addHost(ident.HostID(fmt.Sprintf("entry-%d", i)))
	}
	return f
}

func (f *fleet) addHost(name ident.HostID) {
	f.t.Helper()
	started, err := Start(f.hostSettings(name), zap.NewNop())
	require.NoError(f.t, err)
	f.hosts = append(f.hosts, started)
	require.NoError(f.t, f.platform.AddEntryHost(name, started.PeersAddress))
}

func (f *fleet) hostSettings(name ident.HostID) settings.Settings {
	result := f.platform.HostSettings(name)
	result.Policy.LinkBudget = f.linkBudget
	result.Operators.AdminToken = adminToken
	result.Control.ReportInterval = 50 * time.Millisecond
	result.Control.ListInterval = 50 * time.Millisecond
	result.Control.ExchangeInterval = 100 * time.Millisecond
	result.Control.PlanInterval = 50 * time.Millisecond
	return result
}

// putDocument submits a document and waits until every host has a replica of
// the given number of models.
func (f *fleet) putDocument(file string, models int) {
	f.t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(f.t, err)
	require.Eventually(f.t, func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.hosts[0].OperatorsAddress+"/admin/documents/kerlouan", strings.NewReader(string(text)))
		require.NoError(f.t, err)
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set("If-Match", `"0"`)
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, waitTimeout, pollInterval)
	for _, running := range f.hosts {
		require.Eventually(f.t, func() bool {
			table := running.control.Table()
			ready := 0
			for _, name := range table.Names() {
				if target, _ := table.Target(name); len(target.Replicas) > 0 {
					ready++
				}
			}
			return ready == models
		}, waitTimeout, pollInterval)
	}
}

func (f *fleet) stop() {
	for _, running := range f.hosts {
		require.NoError(f.t, running.Stop(context.Background()))
	}
	f.platform.Stop()
}

// addPlainService starts a plain service.
func (f *fleet) addPlainService(service ident.ServiceName, options plain.Options) *plain.Service {
	f.t.Helper()
	name := ident.ServerName(service + "-1")
	_, err := f.platform.AddPlainService(name, service, options)
	require.NoError(f.t, err)
	return f.platform.PlainServices[name]
}
