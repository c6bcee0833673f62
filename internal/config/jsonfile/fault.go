package jsonfile

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a file.
type Fault struct {
	// Path leads to the field, as "Models[2].Promise.FirstToken"; for malformed
	// JSON it is the line and column. It is empty for the file as a whole.
	Path string
	// Found is what stands there, Allowed what may stand there.
	Found   string
	Allowed string
}

// String gives the fault as one line.
func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "file"
	}
	return fmt.Sprintf("%s: found %s, allowed %s", path, f.Found, f.Allowed)
}

// Faults is everything wrong with a file, in the order of its tables, and the
// error that says so.
type Faults []Fault

// Error lists the faults one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err gives the faults as an error, and nil where there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add notes a fault.
func (f *Faults) Add(path, found, allowed string) {
	*f = append(*f, Fault{
		Path:    path,
		Found:   found,
		Allowed: allowed,
	})
}

// Join gives the path of a member of the value at path.
func Join(path, member string) string {
	if path == "" {
		return member
	}
	return path + "." + member
}

// Index gives the path of an item of the list at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
