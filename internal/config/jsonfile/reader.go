package jsonfile

import (
	"bytes"
	"encoding/json"
)

// Reader reads, writes and describes values of one type. The types of this
// package are the only ones.
type Reader[V any] interface {
	// read sets into where the value is sound, and notes faults where it isn't.
	read(n *node, into *V, faults *Faults)
	// write appends the value as JSON.
	write(out *bytes.Buffer, value V)
	// describe notes what the value at path is about.
	describe(out *[]Description, about Description, value V)
	// allowed says what may stand there.
	allowed() string
}

// Description is one line of a file's reference page.
type Description struct {
	// Path is as a fault's, with [] for each item of a list and {} for each
	// member of a map.
	Path string
	// Kind is the JSON type.
	Kind string
	// Default is JSON; "required" where there is none.
	Default string
	Allowed string
	Meaning string
}

const required = "required"

// Read reads a file into a value that has the defaults. The error is of type
// Faults; with it, the value is not to be used.
func Read[V any](data []byte, reader Reader[V], into *V) error {
	var faults Faults
	if root := parse(data, &faults); root != nil {
		reader.read(root, into, &faults)
	}
	return faults.Err()
}

// Write gives the value as indented JSON, members in the order of the table,
// with a newline at its end. Optional members that are empty are left out.
func Write[V any](value V, reader Reader[V]) []byte {
	var compact, indented bytes.Buffer
	reader.write(&compact, value)
	// The readers write sound JSON, so Indent finds no fault.
	_ = json.Indent(&indented, compact.Bytes(), "", "  ")
	indented.WriteByte('\n')
	return indented.Bytes()
}

// Describe gives the reference page of a file, one line a member, in the order
// of the table.
func Describe[V any](defaults V, reader Reader[V]) []Description {
	var out []Description
	reader.describe(&out, Description{}, defaults)
	return out
}

// writeString appends a JSON string; characters of HTML are left as they are.
func writeString(out *bytes.Buffer, text string) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	// A string is always encodable and a buffer always takes it.
	_ = encoder.Encode(text)
	out.Truncate(out.Len() - 1) // the newline that Encode adds
}

// describeScalar notes a value without members.
func describeScalar[V any](out *[]Description, about Description, kind string, reader Reader[V], value V) {
	about.Kind = kind
	about.Allowed = reader.allowed()
	if about.Default != required {
		var text bytes.Buffer
		reader.write(&text, value)
		about.Default = text.String()
	}
	*out = append(*out, about)
}
