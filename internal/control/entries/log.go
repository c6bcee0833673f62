package entries

import (
	"cmp"
	"slices"

	"cicadaloom/internal/domain/ident"
)

// keyChange is a write or a deletion of a key.
type keyChange struct {
	revision ident.Revision
	key      string
}

// changeLog lists the changes by revision, then by key. Only the last change of a key counts.
type changeLog struct {
	changes []keyChange
	// isUnsorted is set once a change was added out of order, as all those of a listing are.
	isUnsorted bool
}

func (c keyChange) compare(other keyChange) int {
	return cmp.Or(cmp.Compare(c.revision, other.revision), cmp.Compare(c.key, other.key))
}

func (l *changeLog) add(added keyChange) {
	if last := len(l.changes) - 1; last >= 0 && added.compare(l.changes[last]) < 0 {
		l.isUnsorted = true
	}
	l.changes = append(l.changes, added)
}

// since returns the changes after a revision.
func (l *changeLog) since(revision ident.Revision) []keyChange {
	if l.isUnsorted {
		l.isUnsorted = false
		slices.SortFunc(l.changes, keyChange.compare)
	}
	at, _ := slices.BinarySearchFunc(l.changes, revision+1, func(c keyChange, r ident.Revision) int { return cmp.Compare(c.revision, r) })
	return l.changes[at:]
}

// maxOutdatedChanges is how many outdated changes the log may have for each one that counts.
const maxOutdatedChanges = 2

// compact drops the outdated changes once they are many. current is how many count.
func (l *changeLog) compact(current int, isOutdated func(keyChange) bool) {
	if len(l.changes) > (1+maxOutdatedChanges)*max(current, 1) {
		l.changes = slices.DeleteFunc(l.changes, isOutdated)
	}
}
