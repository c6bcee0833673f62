package jsonfile

import (
	"bytes"
	"strings"
)

// Object reads a JSON object into a struct.
type Object[T any] struct {
	Members []Member[T]
	// Fresh gives the defaults of an object that is an item of a list or map,
	// or optional; without it they are the zero value.
	Fresh func() T
	// Check, if set, looks at members together. A member that had a fault, or
	// was missing, has its default there: Check should pass over those.
	Check func(value *T, path string, faults *Faults)
}

// Member is one member of an object.
type Member[T any] struct {
	name     string
	required bool
	meaning  string
	read     func(n *node, into *T, faults *Faults)
	write    func(out *bytes.Buffer, from *T)
	describe func(out *[]Description, about Description, from *T)
	allowed  func() string
}

// Need makes a member that must be there.
func Need[T, V any](name string, at func(*T) *V, reader Reader[V], meaning string) Member[T] {
	result := May(name, at, reader, meaning)
	result.required = true
	return result
}

// May makes a member that may be left out; what the struct has is its default.
func May[T, V any](name string, at func(*T) *V, reader Reader[V], meaning string) Member[T] {
	return Member[T]{
		name:    name,
		meaning: meaning,
		read: func(n *node, into *T, faults *Faults) {
			reader.read(n, at(into), faults)
		},
		write: func(out *bytes.Buffer, from *T) {
			reader.write(out, *at(from))
		},
		describe: func(out *[]Description, about Description, from *T) {
			reader.describe(out, about, *at(from))
		},
		allowed: reader.allowed,
	}
}

func (o Object[T]) allowed() string {
	return "an object"
}

func (o Object[T]) fresh() T {
	if o.Fresh == nil {
		var zero T
		return zero
	}
	return o.Fresh()
}

func (o Object[T]) read(n *node, into *T, faults *Faults) {
	if n.kind != kindObject {
		faults.Add(n.path, n.found(), o.allowed())
		return
	}
	values := make(map[string]*node, len(n.members))
	for _, given := range n.members {
		values[given.name] = given.value
	}
	for i := range o.Members {
		m := &o.Members[i]
		value, given := values[m.name]
		delete(values, m.name)
		switch {
		case given:
			m.read(value, into, faults)
		case m.required:
			faults.Add(Join(n.path, m.name), "nothing", m.allowed())
		}
	}
	o.unknown(n, values, faults)
	if o.Check != nil {
		o.Check(into, n.path, faults)
	}
}

// unknown notes the members that are not in the table.
func (o Object[T]) unknown(n *node, left map[string]*node, faults *Faults) {
	if len(left) == 0 {
		return
	}
	names := make([]string, 0, len(o.Members))
	for i := range o.Members {
		names = append(names, o.Members[i].name)
	}
	for _, given := range n.members {
		if _, unknown := left[given.name]; unknown {
			faults.Add(given.value.path, "an unknown member", strings.Join(names, ", "))
		}
	}
}

func (o Object[T]) write(out *bytes.Buffer, value T) {
	out.WriteByte('{')
	separator := ""
	for i := range o.Members {
		var text bytes.Buffer
		o.Members[i].write(&text, &value)
		if !o.Members[i].required && isEmpty(text.String()) {
			continue
		}
		out.WriteString(separator)
		writeString(out, o.Members[i].name)
		out.WriteByte(':')
		out.Write(text.Bytes())
		separator = ","
	}
	out.WriteByte('}')
}

func isEmpty(text string) bool {
	return text == `""` || text == "[]" || text == "{}"
}

func (o Object[T]) describe(out *[]Description, about Description, value T) {
	for i := range o.Members {
		m := &o.Members[i]
		line := Description{
			Path:    Join(about.Path, m.name),
			Meaning: m.meaning,
		}
		if m.required {
			line.Default = required
		}
		m.describe(out, line, &value)
	}
}
