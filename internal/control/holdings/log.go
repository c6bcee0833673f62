package holdings

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/ident"
)

// change is a change of one engine.
type change struct {
	number int64
	server ident.ServerName
}

// changeLog lists the changes by number, so that those after a cursor are found without a search
// of all engines. Only the last change of an engine counts.
type changeLog []change

// since returns the changes after a number.
func (l changeLog) since(number int64) []change {
	return l[l.indexAfter(number):]
}

// indexAfter returns the index of the first change after a number.
func (l changeLog) indexAfter(number int64) int {
	at, _ := slices.BinarySearchFunc(l, number+1, func(c change, n int64) int { return cmp.Compare(c.number, n) })
	return at
}

// add adds a change. Changes that were relayed by several hosts may come out of order.
func (l changeLog) add(added change) changeLog {
	return slices.Insert(l, l.indexAfter(added.number), added)
}

// maxStaleChanges is how many entries of the log may be out of date for each engine.
const maxStaleChanges = 2

// logChange adds an engine's last change, and drops outdated entries once they are many.
func (t *Table) logChange(e *entry) {
	t.log = t.log.add(change{
		number: e.lastChange(),
		server: e.Server,
	})
	if len(t.log) > (1+maxStaleChanges)*len(t.engines) {
		t.log = slices.DeleteFunc(t.log, func(c change) bool {
			current, known := t.engines[c.server]
			return !known || current.lastChange() != c.number
		})
	}
}
