// Package counters reads what a fleet counts of itself: the moves from an entry
// host's status, the runs, tokens and overcommits from the servers' statistics.
//
// # Usage
//
//	reader := counters.Reader{
//		Statuses: []string{"http://127.0.0.1:8081"},
//		Token:    token,
//		Servers:  []string{"127.0.0.1:9001"},
//	}
//	before, err := reader.Read(ctx)
//	... the load ...
//	after, err := reader.Read(ctx)
//	summary.Fleet = counters.Compare(before, after, summary.Tokens, collector.NotRun())
//
// # Moves
//
// A host counts the moves that it ordered itself while it led, so all hosts have
// to be read. The moves of a host that ended meanwhile are lost with it; such
// hosts are counted in result.Fleet.HostsNotRead.
//
// # Source
//
// The status is that of GET /admin/status (internal/peer/operator), the
// statistics are those that the stand-ins of engines and plain services serve
// at GET /stats.
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
)

const (
	readTimeout = 10 * time.Second
	// bodyLimit bounds one answer: the statistics name each request that ran.
	bodyLimit = 64 << 20
)

// Reader reads a fleet's counters. What is not set is not read.
type Reader struct {
	// Statuses are the base URLs of all entry hosts' sides for operators, Token
	// the administrators' token there.
	Statuses []string
	Token    string
	// Servers are addresses of engines and plain services.
	Servers []string
}

// Snapshot is a fleet's counters at one time.
type Snapshot struct {
	// Moves counts moves by host (its URL) and reason, of the hosts that could be
	// reached.
	Moves       map[string]map[string]int
	Runs        map[ident.RequestID]int
	RunsNotKept int
	Overcommits int
	Tokens      int64
}

// Read reads all counters.
func (r *Reader) Read(ctx context.Context) (*Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	snapshot := Snapshot{
		Moves: make(map[string]map[string]int),
		Runs:  make(map[ident.RequestID]int),
	}
	for _, base := range r.Statuses {
		status, err := ReadStatus(ctx, base, r.Token)
		if errors.Is(err, errUnreachable) {
			continue
		}
		if err != nil {
			return nil, err
		}
		snapshot.Moves[base] = status.Moves
	}
	for _, server := range r.Servers {
		if err := snapshot.addServer(ctx, server); err != nil {
			return nil, err
		}
	}
	return &snapshot, nil
}

// Status is what is used here of an entry host's status.
type Status struct {
	Revision  int64
	InForce   int
	LiveHosts int
	Moves     map[string]int
	Models    []ModelStatus
}

// ModelStatus is how many replicas of a model there should be and are.
type ModelStatus struct {
	Model   string
	Want    int
	Ready   int
	Loading int
}

// ReadStatus reads the status at an operators' base URL.
func ReadStatus(ctx context.Context, base, token string) (Status, error) {
	var status Status
	return status, read(ctx, strings.TrimSuffix(base, "/")+"/admin/status", token, &status)
}

// wireStats is what engines and plain services have in common, and Tokens and
// Overcommits, which only engines have.
type wireStats struct {
	Runs            map[ident.RequestID]int
	RunsNotKept     int
	Overcommits     int
	TokensGenerated int64
}

func (s *Snapshot) addServer(ctx context.Context, address string) error {
	var stats wireStats
	if err := read(ctx, "http://"+address+"/stats", "", &stats); err != nil {
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

// client makes a new connection for each reading: readings are rare, and an
// idle connection would hold up a server that stops.
var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// errUnreachable tells that no answer came.
var errUnreachable = errors.New("no answer")

func read(ctx context.Context, url, token string, into any) error {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil {
		return errors.Wrapf(err, "counters at %s", url)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("counters at %s: status %d: %s", url, response.StatusCode, body)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "counters at %s", url)
}

// Compare tells what a fleet did between two snapshots, of a load whose callers
// got so many tokens in whole answers, and were told of notRun that they were
// not run.
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
			if more := moves - before.Moves[host][reason]; more != 0 {
				fleet.MovesBy[reason] += more
				fleet.Moves += more
			}
		}
	}
	for request, runs := range after.Runs {
		if earlier, known := before.Runs[request]; known {
			fleet.Retries += runs - earlier
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
