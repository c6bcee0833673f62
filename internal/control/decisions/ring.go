package decisions

import (
	"cmp"
	"slices"
	"strings"
	"unicode/utf8"
)

// ring is a ring buffer of the newest decisions of one kind.
type ring struct {
	capacity int
	items    []Decision
	// next is the index at which the next decision is stored once the ring is
	// full: that of the oldest.
	next int
}

func (r *ring) add(d *Decision) {
	if len(r.items) < r.capacity {
		r.items = append(r.items, *d)
		return
	}
	r.items[r.next] = *d
	r.next = (r.next + 1) % r.capacity
}

// find returns the decisions that a query selects, the newest first.
func (r *ring) find(q *Query) []Decision {
	var found []Decision
	for i := range r.items {
		index := (r.next - 1 - i + 2*len(r.items)) % len(r.items)
		if len(found) == q.limit() {
			break
		}
		if q.matches(&r.items[index]) {
			found = append(found, r.items[index])
		}
	}
	return found
}

// Merge combines decisions of several kinds or hosts into one list, the newest
// first, of at most limit decisions.
func Merge(limit int, lists ...[]Decision) []Decision {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Decision) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Host, b.Host))
	})
	return all[:min(limit, len(all))]
}

// truncate cuts a text to maxTextBytes at a rune boundary. It copies a cut text, so
// that the long one can be freed.
func truncate(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
}
