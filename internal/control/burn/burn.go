// Package burn counts how requests fared against their promised times, and reports
// how fast each team, class and model burns its error budget.
//
// A Machine belongs to the control goroutine of an entry host, which counts each
// finished request in it. It keeps a row a minute for the last hours and a row an
// hour beyond that, up to three days, so its size depends on the number of keys and
// not on the number of requests. Report merges the rows of several hosts.
//
// # Usage
//
//	machine.Count(now, burn.Sample{
//		Key: burn.Key{
//			Team:  "kerlouan",
//			Class: "Science",
//			Model: "briefing",
//		},
//		Result: burn.InTime,
//	})
//	lines := burn.Report(now, slices.Concat(machine.Rows(now), peersRows))
//	text := burn.FormatText(lines, hostsThatDidNotAnswer)
//
// # Terms
//
// The objective is the share of requests that must be answered in their promised
// time. The error budget is the rest. The burn rate is the share of requests not
// answered in time over the error budget: 1 uses the budget up exactly by the end
// of its period, 14.4 within a thirtieth of it. This is the usual alerting on
// service level objectives over several windows.
package burn

import (
	"sort"
	"time"

	"cicadaloom/internal/domain/ident"
)

// Objective is the share of requests that must be answered in their promised time:
// 95 in 100.
const Objective = 0.95

// Result is how one request ended.
type Result uint8

// The results, the good one first.
const (
	InTime Result = iota
	Late
	Refused
	Failed
	numResults
)

// String returns the result's name in reports.
func (r Result) String() string {
	return [numResults]string{"InTime", "Late", "Refused", "Failed"}[r]
}

// Key identifies the requests that are counted together.
type Key struct {
	Team  ident.TeamName
	Class ident.ClassName
	Model ident.ModelName
}

// Sample is one finished request.
type Sample struct {
	Key
	Result Result
}

// Counts is the number of requests with each result.
type Counts [numResults]int64

// Total returns the number of requests.
func (c *Counts) Total() int64 {
	var total int64
	for _, n := range c {
		total += n
	}
	return total
}

// Missed returns the number of requests with any other result than InTime.
func (c *Counts) Missed() int64 {
	return c.Total() - c[InTime]
}

// add adds other counts.
func (c *Counts) add(other *Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// Row is the counts of one key in one time slice that started at Start.
type Row struct {
	Key
	Start  time.Time
	Counts Counts
}

// Time slices and how long they are kept: fine ones for the six-hour window, coarse
// ones for the longest.
const (
	fineStep        = time.Minute
	coarseStep      = time.Hour
	fineRetention   = 7 * time.Hour
	coarseRetention = 73 * time.Hour
)

type rowKey struct {
	Key
	start int64
}

// Machine keeps this host's counts. The zero value works.
type Machine struct {
	fineRows    map[rowKey]*Counts
	coarseRows  map[rowKey]*Counts
	lastRemoval time.Time
}

// Count adds one finished request.
func (m *Machine) Count(now time.Time, sample Sample) {
	if m.fineRows == nil {
		m.fineRows = make(map[rowKey]*Counts)
		m.coarseRows = make(map[rowKey]*Counts)
	}
	addToRow(m.fineRows, now.Truncate(fineStep), sample)
	addToRow(m.coarseRows, now.Truncate(coarseStep), sample)
	if now.Sub(m.lastRemoval) >= fineStep {
		m.lastRemoval = now
		removeBefore(m.fineRows, now.Add(-fineRetention))
		removeBefore(m.coarseRows, now.Add(-coarseRetention))
	}
}

func addToRow(rows map[rowKey]*Counts, start time.Time, sample Sample) {
	key := rowKey{
		Key:   sample.Key,
		start: start.Unix(),
	}
	counts, known := rows[key]
	if !known {
		counts = &Counts{}
		rows[key] = counts
	}
	counts[sample.Result]++
}

func removeBefore(rows map[rowKey]*Counts, before time.Time) {
	for key := range rows {
		if key.start < before.Unix() {
			delete(rows, key)
		}
	}
}

// Rows returns all counts that the windows of a report need, oldest first: fine
// rows as far as they are kept, coarse rows for what is older. Each request is in
// at most one row.
func (m *Machine) Rows(now time.Time) []Row {
	firstFine := now.Add(-fineRetention).Truncate(coarseStep).Add(coarseStep)
	var rows []Row
	for key, counts := range m.coarseRows {
		if key.start < firstFine.Unix() {
			rows = append(rows, newRow(key, counts))
		}
	}
	for key, counts := range m.fineRows {
		if key.start >= firstFine.Unix() {
			rows = append(rows, newRow(key, counts))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].isBefore(&rows[j]) })
	return rows
}

func newRow(key rowKey, counts *Counts) Row {
	return Row{
		Key:    key.Key,
		Start:  time.Unix(key.start, 0).UTC(),
		Counts: *counts,
	}
}

func (r *Row) isBefore(other *Row) bool {
	if !r.Start.Equal(other.Start) {
		return r.Start.Before(other.Start)
	}
	if r.Team != other.Team {
		return r.Team < other.Team
	}
	if r.Class != other.Class {
		return r.Class < other.Class
	}
	return r.Model < other.Model
}
