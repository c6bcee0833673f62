package loop

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/entryhost"
)

// Status is the state of the system, as this host knows it.
type Status struct {
	Host ident.HostID
	// Documents is the revision up to which this host has every accepted edit.
	Documents ident.Revision
	Hosts     []HostStatus
	Servers   []ServerStatus
	Plan      orders.State
	Suspects  int
}

// HostStatus is an entry host, as its heartbeats report it.
type HostStatus struct {
	membership.Peer
	Live bool
}

// ServerStatus is a backend server, as this host sees it.
type ServerStatus struct {
	Name    ident.ServerName
	Kind    string
	State   string
	Address string
	// InFlight is the number of this host's requests in flight there.
	InFlight int64
}

// CountInForce returns the number of live hosts that have every accepted edit up to a
// revision, and the number of all live hosts.
func (s *Status) CountInForce(revision ident.Revision) (int, int) {
	current, all := 0, 0
	for i := range s.Hosts {
		if !s.Hosts[i].Live {
			continue
		}
		all++
		if s.Hosts[i].DocumentsRevision >= revision {
			current++
		}
	}
	return current, all
}

// controlQuery runs a function on the control goroutine.
type controlQuery[T any] struct {
	run    func(now time.Time, c *control) T
	answer chan T
}

func (m controlQuery[T]) apply(now time.Time, c *control) {
	m.answer <- m.run(now, c)
}

// runOnControl runs a function on the control goroutine and returns its result.
func runOnControl[T any](ctx context.Context, l *Loop, run func(now time.Time, c *control) T) (T, error) {
	answer := make(chan T, 1)
	if !l.send(controlQuery[T]{
		run:    run,
		answer: answer,
	}) {
		var zero T
		return zero, errStopping
	}
	return await(ctx, l, answer)
}

// Status returns the system's state.
func (l *Loop) Status(ctx context.Context) (Status, error) {
	return runOnControl(ctx, l, func(now time.Time, c *control) Status {
		status := Status{
			Host:      c.options.Settings.Host.Name,
			Documents: c.documents.Revision(),
			Hosts:     c.hostStatuses(now),
			Plan:      c.orders.State(now),
			Suspects:  len(c.suspectMachine.All()),
		}
		loads := c.routing.InFlight()
		leaving := make(map[ident.ServerName]bool)
		for _, server := range c.routing.LeavingServers() {
			leaving[server.Server] = true
		}
		for _, server := range c.sortedServers() {
			// The list lags: a server that reports to leave, to this host or to a peer, is leaving.
			if leaving[server.Name] {
				server.State = backend.StateLeaving
			}
			status.Servers = append(status.Servers, ServerStatus{
				Name:     server.Name,
				Kind:     string(server.Kind),
				State:    string(server.State),
				Address:  server.Address,
				InFlight: loads[server.Name],
			})
		}
		return status
	})
}

func (c *control) hostStatuses(now time.Time) []HostStatus {
	var statuses []HostStatus
	for _, peer := range c.membership.KnownPeers() {
		statuses = append(statuses, HostStatus{
			Peer: peer,
			Live: c.membership.IsLive(now, peer.Host),
		})
	}
	return statuses
}

// BurnCounts implements entryhost.Handler.
func (l *Loop) BurnCounts(ctx context.Context) (entryhost.BurnCounts, error) {
	return runOnControl(ctx, l, func(now time.Time, c *control) entryhost.BurnCounts {
		return entryhost.BurnCounts{
			Host: c.options.Settings.Host.Name,
			Rows: c.burn.Rows(now),
		}
	})
}

// BurnReport is the report on service-level burn over all entry hosts.
type BurnReport struct {
	At       time.Time
	Lines    []burn.Line
	Timeline []burn.TeamMinute
	// Hosts have returned their counts. Missing have not: their counts are not in
	// the report.
	Hosts   []ident.HostID
	Missing []ident.HostID
}

// Burn collects the counts of all hosts that answer.
func (l *Loop) Burn(ctx context.Context) (BurnReport, error) {
	result, err := gather(ctx, l, l.fetchCounts)
	if err != nil {
		return BurnReport{}, err
	}
	var rows []burn.Row
	for i := range result.replies {
		rows = append(rows, result.replies[i].Rows...)
	}
	report := BurnReport{
		At:      time.Now(),
		Hosts:   result.hosts,
		Missing: result.missing,
	}
	report.Lines = burn.Report(report.At, rows)
	report.Timeline = burn.Timeline(report.At, rows)
	return report, nil
}

func (l *Loop) fetchCounts(ctx context.Context, peer membership.Peer) (entryhost.BurnCounts, error) {
	if peer.Host == l.options.Settings.Host.Name {
		return l.BurnCounts(ctx)
	}
	return l.pool.FetchBurnCounts(ctx, peer.Address)
}

// Documents returns the documents in force at this host.
func (l *Loop) Documents() *documents.Snapshot {
	return l.inForce.Load()
}

// Edit submits an operator's edit and waits for its result.
func (l *Loop) Edit(ctx context.Context, edit documents.EditSubmitted) (documents.EditResult, error) {
	answer := make(chan documents.EditResult, 1)
	if !l.send(editRequest{
		edit:   edit,
		answer: answer,
	}) {
		return nil, errStopping
	}
	return await(ctx, l, answer)
}

// History returns the superseded versions of a team's document, the oldest first.
func (l *Loop) History(ctx context.Context, team ident.TeamName) ([]documents.Version, error) {
	listing, err := l.options.KeyValue.List(ctx, documents.HistoryPrefix(team))
	if err != nil {
		return nil, errors.Wrap(err, "history")
	}
	versions := make([]documents.Version, 0, len(listing.Entries))
	for _, entry := range listing.Entries {
		version, err := documents.DecodeVersion(entry.Value)
		if err != nil {
			return nil, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}
