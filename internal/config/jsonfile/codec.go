package jsonfile

import (
	"bytes"
	"encoding/json"
)

// Codec reads, writes and describes values of one type. Its methods are
// unexported: only this package implements it.
type Codec[V any] interface {
	// read sets into if the value is valid, and adds faults otherwise.
	read(n *node, into *V, faults *Faults)
	// write appends the value as JSON.
	write(out *bytes.Buffer, value V)
	// describe appends entry, completed with the kind, allowed values and default
	// of value; an Object appends an entry for each of its members instead.
	describe(out *[]Description, entry Description, value V)
	// allowed describes the valid values.
	allowed() string
}

// Description is one entry of a file's reference page.
type Description struct {
	// Path is written like the path of a Fault, with [] for each item of a list
	// and {} for each member of a map.
	Path string
	// Kind is the JSON type.
	Kind string
	// Default is the default value as JSON, or "required" if the member has none.
	Default string
	Allowed string
	Meaning string
}

const required = "required"

// Read reads a file into a value that holds the defaults. The error is of type
// Faults; after an error the value must not be used.
func Read[V any](data []byte, codec Codec[V], into *V) error {
	var faults Faults
	if root := parse(data, &faults); root != nil {
		codec.read(root, into, &faults)
	}
	return faults.Err()
}

// Write returns the value as indented JSON with a trailing newline and members in
// the order of the table. Optional members that are empty are omitted.
func Write[V any](value V, codec Codec[V]) []byte {
	var compact, indented bytes.Buffer
	codec.write(&compact, value)
	// The codecs write valid JSON, so Indent does not fail.
	_ = json.Indent(&indented, compact.Bytes(), "", "  ")
	indented.WriteByte('\n')
	return indented.Bytes()
}

// Describe returns the reference page of a file, one entry per member, in the
// order of the table.
func Describe[V any](defaults V, codec Codec[V]) []Description {
	var out []Description
	codec.describe(&out, Description{}, defaults)
	return out
}

// writeString appends a JSON string without escaping HTML characters.
func writeString(out *bytes.Buffer, text string) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	// Encoding a string into a buffer cannot fail.
	_ = encoder.Encode(text)
	out.Truncate(out.Len() - 1) // the newline that Encode adds
}

// describeValue appends one entry for a value, without entries for its members.
func describeValue[V any](out *[]Description, entry Description, kind string, codec Codec[V], value V) {
	entry.Kind = kind
	entry.Allowed = codec.allowed()
	if entry.Default != required {
		var text bytes.Buffer
		codec.write(&text, value)
		entry.Default = text.String()
	}
	*out = append(*out, entry)
}
