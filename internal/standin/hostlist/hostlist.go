// Package hostlist is a stand-in for the platform's list of live and leaving
// hosts.
//
// # Usage
//
//	list := hostlist.New(hostlist.Options{
//		Lag: 2 * time.Second,
//	})
//	address, err := list.Start("127.0.0.1:0")
//	defer list.Stop()
//
// `GET /hosts` returns the list as it was Lag ago; `PUT /hosts/{name}` and `DELETE
// /hosts/{name}` change it at once. Register and Deregister send these requests.
// The faults, set at /faults, are Down (connections are closed without an answer),
// FreezeRequests (requests wait until it is cleared) and Lag, which replaces the
// option if it is not 0.
package hostlist

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// maxVersions bounds the past lists kept for Lag.
const maxVersions = 1024

// Options configures a List.
type Options struct {
	// Lag is the age of the list served.
	Lag time.Duration
}

// Faults are the failures that the list simulates, set at /faults.
type Faults struct {
	Down           bool
	FreezeRequests bool
	Lag            fault.Duration
}

// List is the simulated host list. Create it with New.
type List struct {
	Faults  fault.Switch[Faults]
	options Options
	server  server.Server

	mu       sync.Mutex
	servers  map[ident.ServerName]backend.Server
	versions []version // oldest first
}

// version is the contents of the list from validFrom to the next version.
type version struct {
	validFrom time.Time
	servers   []backend.Server
}

// New returns an empty list that is not started yet.
func New(options Options) *List {
	return &List{
		options: options,
		servers: make(map[ident.ServerName]backend.Server),
	}
}

// Start starts the HTTP server and returns its address.
func (l *List) Start(listen string) (string, error) {
	router := bunrouter.New()
	router.GET(engineapi.PathHosts, server.Route(l.serveList))
	router.PUT(engineapi.PathHosts+"/:name", l.servePut)
	router.DELETE(engineapi.PathHosts+"/:name", l.serveDelete)
	router.GET(fault.Path, server.Route(l.Faults.ServeHTTP))
	router.POST(fault.Path, server.Route(l.Faults.ServeHTTP))
	return l.server.Start(listen, l.server.ApplyFaults(l.requestFaults(), router))
}

// Stop stops the HTTP server.
func (l *List) Stop() error {
	return l.server.Stop()
}

// Put adds a host or changes its entry.
func (l *List) Put(host backend.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[host.Name] = host
	l.recordVersion()
}

// Remove takes a host off the list.
func (l *List) Remove(name ident.ServerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers, name)
	l.recordVersion()
}

// recordVersion appends the current contents to the versions. The caller holds mu.
func (l *List) recordVersion() {
	servers := slices.SortedFunc(maps.Values(l.servers), func(a, b backend.Server) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	l.versions = append(l.versions, version{
		validFrom: time.Now(),
		servers:   servers,
	})
	if len(l.versions) > maxVersions {
		l.versions = slices.Delete(l.versions, 0, len(l.versions)-maxVersions)
	}
}

// Served returns the list as `GET /hosts` returns it now.
func (l *List) Served() []backend.Server {
	lag := l.options.Lag
	if override := time.Duration(l.Faults.Get().Lag); override > 0 {
		lag = override
	}
	cutoff := time.Now().Add(-lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.versions) - 1; i >= 0; i-- {
		if !l.versions[i].validFrom.After(cutoff) {
			return l.versions[i].servers
		}
	}
	return nil
}

func (l *List) requestFaults() server.RequestFaults {
	return server.RequestFaults{
		Changed:     l.Faults.Changed,
		IsFrozen:    func() bool { return l.Faults.Get().FreezeRequests },
		IsDown:      func() bool { return l.Faults.Get().Down },
		ExemptPaths: []string{fault.Path},
	}
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	body, err := engineapi.EncodeHosts(l.Served())
	server.WriteJSON(w, http.StatusOK, body, err)
}

func (l *List) servePut(w http.ResponseWriter, r bunrouter.Request) error {
	body, ok := server.ReadBody(w, r.Request)
	if !ok {
		return nil
	}
	host, err := engineapi.DecodeServer(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	if string(host.Name) != server.PathParam(r, "name") {
		http.Error(w, "Name: differs from the path", http.StatusBadRequest)
		return nil
	}
	l.Put(host)
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (l *List) serveDelete(w http.ResponseWriter, r bunrouter.Request) error {
	l.Remove(ident.ServerName(server.PathParam(r, "name")))
	w.WriteHeader(http.StatusNoContent)
	return nil
}
