package decisions

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"
)

// ring keeps the newest decisions of one kind.
type ring struct {
	most  int
	items []Decision
	// next is where the next one goes once the ring is full: the oldest's place.
	next int
}

func (r *ring) add(d *Decision) {
	if len(r.items) < r.most {
		r.items = append(r.items, *d)
		return
	}
	r.items[r.next] = *d
	r.next = (r.next + 1) % r.most
}

// find gives what a query takes, the newest first.
func (r *ring) find(q *Query) []Decision {
	var found []Decision
	for i := range r.items {
		at := (r.next - 1 - i + 2*len(r.items)) % len(r.items)
		if len(found) == q.limit() {
			break
		}
		if q.takes(&r.items[at]) {
			found = append(found, r.items[at])
		}
	}
	return found
}

// Merge puts decisions of several kinds or hosts into one list, the newest
// first and at most so many.
func Merge(limit int, lists ...[]Decision) []Decision {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Decision) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Host, b.Host))
	})
	return all[:min(limit, len(all))]
}

// shortened cuts a long text and lets go of what it was a part of.
func shortened(text string) string {
	if len(text) <= maxText {
		return text
	}
	end := maxText
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
}
