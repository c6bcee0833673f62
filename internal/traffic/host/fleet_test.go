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
	waitMost   = 30 * time.Second
	waitEvery  = 10 * time.Millisecond
	adminToken = "admin-token-0123456789"
)

// fleet is a platform and entry hosts in this process.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	hosts    []*Host
	// linkBudget is for the hosts that are added next.
	linkBudget unit.Bytes
}

func newFleet(t *testing.T, engines, hosts int) *fleet {
	t.Helper()
	running, err := platform.Start(platform.Options{
		Place: platform.Place{
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
	started, err := Start(f.settings(name), zap.NewNop())
	require.NoError(f.t, err)
	f.hosts = append(f.hosts, started)
	require.NoError(f.t, f.platform.AddEntryHost(name, started.Peers))
}

func (f *fleet) settings(name ident.HostID) settings.Settings {
	result := f.platform.HostSettings(name)
	result.Policy.LinkBudget = f.linkBudget
	result.Operators.AdminToken = adminToken
	result.Control.ReportInterval = 50 * time.Millisecond
	result.Control.ListInterval = 50 * time.Millisecond
	result.Control.ExchangeInterval = 100 * time.Millisecond
	result.Control.PlanInterval = 50 * time.Millisecond
	return result
}

// put makes a document the accepted one and waits until every host serves all
// its models.
func (f *fleet) put(file string, models int) {
	f.t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(f.t, err)
	require.Eventually(f.t, func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+f.hosts[0].Operators+"/admin/documents/kerlouan", strings.NewReader(string(text)))
		require.NoError(f.t, err)
		request.Header.Set("Authorization", "Bearer "+adminToken)
		request.Header.Set("If-Match", `"0"`)
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	}, waitMost, waitEvery)
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
		}, waitMost, waitEvery)
	}
}

func (f *fleet) stop() {
	for _, running := range f.hosts {
		require.NoError(f.t, running.Stop(context.Background()))
	}
	f.platform.Stop()
}

// addPlain starts a plain service.
func (f *fleet) addPlain(service ident.ServiceName, options plain.Options) *plain.Service {
	f.t.Helper()
	name := ident.ServerName(service + "-1")
	_, err := f.platform.AddPlain(name, service, options)
	require.NoError(f.t, err)
	return f.platform.Plains[name]
}
