// Package counters reads the counters that a fleet keeps about itself: moves from
// the status of the entry hosts; runs, tokens and overcommits from the statistics
// of the backend servers. Two snapshots, read before and after a load run, give
// what the fleet did in between. The load tool and package fleet call it.
//
// # Usage
//
//	reader := counters.Reader{
//		StatusURLs:      []string{"http://127.0.0.1:8081"},
//		Token:           token,
//		ServerAddresses: []string{"127.0.0.1:9001"},
//	}
//	before, err := reader.Read(ctx)
//	... the load run ...
//	after, err := reader.Read(ctx)
//	summary.Fleet = counters.Compare(before, after, summary.Tokens, collector.NotRunRequests())
//
// # Moves
//
// Each host counts only the moves that it ordered itself while it was the leader,
// so all hosts have to be read. The counts of a host that stops between the two
// snapshots are lost; result.Fleet.HostsNotRead counts such hosts.
//
// # Endpoints
//
// The status comes from GET /admin/status (internal/peer/operator), the
// statistics from GET /stats of the simulated engines and plain services.
//
// # Concurrency
//
// Calls are synchronous and start no goroutines. A Reader may be used by many
// goroutines as long as its fields don't change.
package counters

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/result"
	"cicadaloom/internal/peer/httpsend"
)

const (
	readTimeout = 10 * time.Second
	// maxBodyBytes bounds one response body; the statistics list every request
	// that ran, so they can be long.
	maxBodyBytes = 64 << 20
)

// Reader reads a fleet's counters. Hosts and servers that are not listed are
// skipped.
type Reader struct {
	// StatusURLs are the base URLs of the operator listeners of all entry hosts,
	// Token is the administrator token for them.
	StatusURLs []string
	Token      string
	// ServerAddresses are the addresses (host:port) of engines and plain services.
	ServerAddresses []string
}

// Snapshot is a fleet's counters at one time.
type Snapshot struct {
	// Moves counts moves by host (its base URL) and reason. Hosts that could not
	// be reached are missing.
	Moves map[string]map[string]int
	// Runs counts how often each request ran, over all servers; RunsNotKept
	// counts the runs that servers did not record by request.
	Runs        map[ident.RequestID]int
	RunsNotKept int
	Overcommits int
	Tokens      int64
}

// Read reads all counters. A host that does not answer is left out; any other
// failure, also of a server, is an error.
func (r *Reader) Read(ctx context.Context) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot := Snapshot{
		Moves: make(map[string]map[string]int),
		Runs:  make(map[ident.RequestID]int),
	}
	for _, base := range r.StatusURLs {
		status, err := ReadStatus(ctx, base, r.Token)
		if errors.Is(err, errUnreachable) {
			continue
		}
		if err != nil {
			return nil, err
		}
		snapshot.Moves[base] = status.Moves
	}
	for _, server := range r.ServerAddresses {
		if err := snapshot.addServer(ctx, server); err != nil {
			return nil, err
		}
	}
	return &snapshot, nil
}

// Status is the part of an entry host's status that this package decodes.
type Status struct {
	Revision int64
	// InForce counts the live hosts that have every edit up to Revision.
	InForce   int
	LiveHosts int
	Moves     map[string]int
	Models    []ModelStatus
}

// ModelStatus has the desired, ready and loading replicas of a model.
type ModelStatus struct {
	Model   string
	Want    int
	Ready   int
	Loading int
}

// ReadStatus reads the status of an entry host from the base URL of its operator
// listener.
func ReadStatus(ctx context.Context, base, token string) (Status, error) {
	var status Status
	return status, fetchJSON(ctx, strings.TrimSuffix(base, "/")+"/admin/status", token, &status)
}

// wireStats has the statistics that both engines and plain services serve, plus
// TokensGenerated and Overcommits, which only engines serve.
type wireStats struct {
	Runs            map[ident.RequestID]int
	RunsNotKept     int
	Overcommits     int
	TokensGenerated int64
}

func (s *Snapshot) addServer(ctx context.Context, address string) error {
	var stats wireStats
	if err := fetchJSON(ctx, "http://"+address+"/stats", "", &stats); err != nil {
		return err
	}
	for request, runs := range stats.Runs {
		s.Runs[request] += runs
	}
	s.RunsNotKept += stats.RunsNotKept
	s.Overcommits += stats.Overcommits
	s.Tokens += stats.TokensGenerated
	return nil
}

// client opens a new connection for each request: requests are rare, and an idle
// connection would delay the shutdown of a server.
var client = &http.Client{
	Transport: httpsend.NewTransport(&http.Transport{
		DisableKeepAlives: true,
	}),
}

// errUnreachable reports that the request got no response.
var errUnreachable = errors.New("no answer")

func fetchJSON(ctx context.Context, url, token string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "counters")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(errUnreachable, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return errors.Wrapf(err, "read counters at %s", url)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("read counters at %s: status %d: %s", url, response.StatusCode, body)
	}
	return errors.Wrapf(json.Unmarshal(body, target), "decode counters at %s", url)
}

// Compare returns what a fleet did between two snapshots. delivered is the number
// of tokens that callers got in whole answers during the load run; notRun are the
// requests whose refusal said that they were not run.
func Compare(before, after *Snapshot, delivered int64, notRun []ident.RequestID) *result.Fleet {
	fleet := result.Fleet{
		MovesBy:         make(map[string]int),
		Overcommits:     after.Overcommits - before.Overcommits,
		TokensGenerated: after.Tokens - before.Tokens,
		RunsNotKept:     after.RunsNotKept - before.RunsNotKept,
	}
	fleet.TokensWasted = fleet.TokensGenerated - delivered
	for host := range before.Moves {
		if _, reached := after.Moves[host]; !reached {
			fleet.HostsNotRead++
		}
	}
	for host, counts := range after.Moves {
		for reason, moves := range counts {
			if increase := moves - before.Moves[host][reason]; increase != 0 {
				fleet.MovesBy[reason] += increase
				fleet.Moves += increase
			}
		}
	}
	for request, runs := range after.Runs {
		if previousRuns, known := before.Runs[request]; known {
			fleet.Retries += runs - previousRuns
		} else {
			fleet.Retries += runs - 1
		}
	}
	for _, request := range notRun {
		if after.Runs[request] > before.Runs[request] {
			fleet.RunsOfRefused++
		}
	}
	return &fleet
}
