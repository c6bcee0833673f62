package jsonfile

import (
	"bytes"
	"strings"
)

// Object is the codec of a JSON object that is stored in a struct.
type Object[T any] struct {
	Members []Member[T]
	// NewDefault returns the default value of an object that is an item of a list
	// or map. If it is nil, the default is the zero value.
	NewDefault func() T
	// Check, if set, checks constraints between members. A member that is invalid
	// or missing has its default here: Check should skip it.
	Check func(value *T, path string, faults *Faults)
}

// Member describes one member of an object.
type Member[T any] struct {
	name     string
	required bool
	meaning  string
	read     func(n *node, into *T, faults *Faults)
	write    func(out *bytes.Buffer, from *T)
	describe func(out *[]Description, entry Description, from *T)
	allowed  func() string
}

// Required returns a required member.
func Required[T, V any](name string, at func(*T) *V, codec Codec[V], meaning string) Member[T] {
	result := Optional(name, at, codec, meaning)
	result.required = true
	return result
}

// Optional returns an optional member. Its default is the value that the struct has
// before it is read.
func Optional[T, V any](name string, at func(*T) *V, codec Codec[V], meaning string) Member[T] {
	return Member[T]{
		name:    name,
		meaning: meaning,
		read: func(n *node, into *T, faults *Faults) {
			codec.read(n, at(into), faults)
		},
		write: func(out *bytes.Buffer, from *T) {
			codec.write(out, *at(from))
		},
		describe: func(out *[]Description, entry Description, from *T) {
			codec.describe(out, entry, *at(from))
		},
		allowed: codec.allowed,
	}
}

func (o Object[T]) allowed() string {
	return "an object"
}

func (o Object[T]) defaultValue() T {
	if o.NewDefault == nil {
		var zero T
		return zero
	}
	return o.NewDefault()
}

func (o Object[T]) read(n *node, into *T, faults *Faults) {
	if n.kind != kindObject {
		faults.Add(n.path, n.describeFound(), o.allowed())
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
			faults.Add(MemberPath(n.path, m.name), "nothing", m.allowed())
		}
	}
	o.addUnknown(n, values, faults)
	if o.Check != nil {
		o.Check(into, n.path, faults)
	}
}

// addUnknown adds a fault for each member that is not in the table.
func (o Object[T]) addUnknown(n *node, left map[string]*node, faults *Faults) {
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
		if !o.Members[i].required && isEmptyJSON(text.String()) {
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

func isEmptyJSON(text string) bool {
	return text == `""` || text == "[]" || text == "{}"
}

func (o Object[T]) describe(out *[]Description, entry Description, value T) {
	for i := range o.Members {
		m := &o.Members[i]
		line := Description{
			Path:    MemberPath(entry.Path, m.name),
			Meaning: m.meaning,
		}
		if m.required {
			line.Default = required
		}
		m.describe(out, line, &value)
	}
}
