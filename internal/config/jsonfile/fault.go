package jsonfile

import (
	"fmt"
	"strings"
)

// Fault is one validation error in a file.
type Fault struct {
	// Path is the path of the field, such as "Models[2].Promise.FirstToken". For
	// malformed JSON it is the line and column; for the whole file it is empty.
	Path string
	// Found describes the value in the file, Allowed the values that are valid.
	Found   string
	Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "file"
	}
	return fmt.Sprintf("%s: found %s, allowed %s", path, f.Found, f.Allowed)
}

// Faults is an error with every fault of a file, in the order of its tables.
type Faults []Fault

// Error lists the faults one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add appends a fault.
func (f *Faults) Add(path, found, allowed string) {
	*f = append(*f, Fault{
		Path:    path,
		Found:   found,
		Allowed: allowed,
	})
}

// MemberPath returns the path of a member of the value at path.
func MemberPath(path, member string) string {
	if path == "" {
		return member
	}
	return path + "." + member
}

// ItemPath returns the path of item i of the list at path.
func ItemPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
