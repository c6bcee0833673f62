package jsonfile

import (
	"bytes"
	"fmt"
	"slices"
)

// DefaultMaxItems is the greatest number of items of a list or map whose Max is
// zero.
const DefaultMaxItems = 10_000

// List is the codec of a JSON array.
type List[V any] struct {
	Item Codec[V]
	Min  int
	// Max is the greatest number of items; zero means DefaultMaxItems.
	Max int
}

func (l List[V]) max() int {
	if l.Max == 0 {
		return DefaultMaxItems
	}
	return l.Max
}

func (l List[V]) allowed() string {
	return fmt.Sprintf("a list of %d to %d, each %s", l.Min, l.max(), l.Item.allowed())
}

func (l List[V]) read(n *node, into *[]V, faults *Faults) {
	if n.kind != kindList || len(n.items) < l.Min || len(n.items) > l.max() {
		faults.Add(n.path, n.describeFound(), l.allowed())
		return
	}
	values := make([]V, 0, len(n.items))
	for _, item := range n.items {
		value := newValue(l.Item)
		l.Item.read(item, &value, faults)
		// An invalid item keeps its index, so that later checks report the
		// right one.
		values = append(values, value)
	}
	*into = values
}

func (l List[V]) write(out *bytes.Buffer, values []V) {
	out.WriteByte('[')
	for i, value := range values {
		if i > 0 {
			out.WriteByte(',')
		}
		l.Item.write(out, value)
	}
	out.WriteByte(']')
}

func (l List[V]) describe(out *[]Description, entry Description, values []V) {
	describeValue(out, entry, "list", l, values)
	if _, isObject := l.Item.(defaulter[V]); isObject {
		l.Item.describe(out, Description{
			Path: entry.Path + "[]",
		}, newValue(l.Item))
	}
}

// defaulter is a Codec with default values: Object.
type defaulter[V any] interface {
	defaultValue() V
}

func newValue[V any](codec Codec[V]) V {
	if object, isObject := codec.(defaulter[V]); isObject {
		return object.defaultValue()
	}
	var zero V
	return zero
}

// Map is the codec of a JSON object whose member names are data.
type Map[K ~string, V any] struct {
	Key  Text[K]
	Item Codec[V]
	Min  int
	// Max is the greatest number of members; zero means DefaultMaxItems.
	Max int
}

func (m Map[K, V]) max() int {
	if m.Max == 0 {
		return DefaultMaxItems
	}
	return m.Max
}

func (m Map[K, V]) allowed() string {
	return fmt.Sprintf("an object of %d to %d members, each named by %s, with %s",
		m.Min, m.max(), m.Key.allowed(), m.Item.allowed())
}

func (m Map[K, V]) read(n *node, into *map[K]V, faults *Faults) {
	if n.kind != kindObject || len(n.members) < m.Min || len(n.members) > m.max() {
		faults.Add(n.path, n.describeFound(), m.allowed())
		return
	}
	values := make(map[K]V, len(n.members))
	for _, given := range n.members {
		if !m.Key.isAllowed(given.name) {
			faults.Add(given.value.path, "this name", m.Key.allowed())
			continue
		}
		value := newValue(m.Item)
		m.Item.read(given.value, &value, faults)
		values[K(given.name)] = value
	}
	*into = values
}

func (m Map[K, V]) write(out *bytes.Buffer, values map[K]V) {
	names := make([]K, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	out.WriteByte('{')
	for i, name := range names {
		if i > 0 {
			out.WriteByte(',')
		}
		writeString(out, string(name))
		out.WriteByte(':')
		m.Item.write(out, values[name])
	}
	out.WriteByte('}')
}

func (m Map[K, V]) describe(out *[]Description, entry Description, values map[K]V) {
	describeValue(out, entry, "object", m, values)
}
