package jsonfile

import (
	"bytes"
	"fmt"
	"slices"
)

// DefaultItems is the greatest number of items of a list or map that sets no
// other.
const DefaultItems = 10_000

// List reads a JSON list.
type List[V any] struct {
	Item Reader[V]
	Min  int
	// Max is the greatest number of items; zero means DefaultItems.
	Max int
}

func (l List[V]) max() int {
	if l.Max == 0 {
		return DefaultItems
	}
	return l.Max
}

func (l List[V]) allowed() string {
	return fmt.Sprintf("a list of %d to %d, each %s", l.Min, l.max(), l.Item.allowed())
}

func (l List[V]) read(n *node, into *[]V, faults *Faults) {
	if n.kind != kindList || len(n.items) < l.Min || len(n.items) > l.max() {
		faults.Add(n.path, n.found(), l.allowed())
		return
	}
	values := make([]V, 0, len(n.items))
	for _, item := range n.items {
		value := fresh(l.Item)
		l.Item.read(item, &value, faults)
		// A faulty item keeps its place, so that later checks name the right one.
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

func (l List[V]) describe(out *[]Description, about Description, values []V) {
	describeScalar(out, about, "list", l, values)
	if _, isObject := l.Item.(withFresh[V]); isObject {
		l.Item.describe(out, Description{
			Path: about.Path + "[]",
		}, fresh(l.Item))
	}
}

// withFresh is what Object has beyond a Reader.
type withFresh[V any] interface {
	fresh() V
}

func fresh[V any](reader Reader[V]) V {
	if object, isObject := reader.(withFresh[V]); isObject {
		return object.fresh()
	}
	var zero V
	return zero
}

// Map reads a JSON object whose member names are data.
type Map[K ~string, V any] struct {
	Key  Text[K]
	Item Reader[V]
	Min  int
	// Max is the greatest number of members; zero means DefaultItems.
	Max int
}

func (m Map[K, V]) max() int {
	if m.Max == 0 {
		return DefaultItems
	}
	return m.Max
}

func (m Map[K, V]) allowed() string {
	return fmt.Sprintf("an object of %d to %d members, each named by %s, with %s",
		m.Min, m.max(), m.Key.allowed(), m.Item.allowed())
}

func (m Map[K, V]) read(n *node, into *map[K]V, faults *Faults) {
	if n.kind != kindObject || len(n.members) < m.Min || len(n.members) > m.max() {
		faults.Add(n.path, n.found(), m.allowed())
		return
	}
	values := make(map[K]V, len(n.members))
	for _, given := range n.members {
		if !m.Key.sound(given.name) {
			faults.Add(given.value.path, "this name", m.Key.allowed())
			continue
		}
		value := fresh(m.Item)
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

func (m Map[K, V]) describe(out *[]Description, about Description, values map[K]V) {
	describeScalar(out, about, "object", m, values)
}
