package jsonfile

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Text is the codec of a JSON string. The zero value allows any text that is not
// empty and has at most DefaultMaxTextBytes bytes.
type Text[S ~string] struct {
	// Max is the greatest number of bytes; zero means DefaultMaxTextBytes.
	Max int
	// OneOf, if set, lists the allowed values.
	OneOf []S
	// Pattern, if set, must match; anchor it to match the whole text. Check, if
	// set, must return true.
	Pattern *regexp.Regexp
	Check   func(text string) bool
	// Form describes in words what Pattern and Check allow; faults show it.
	Form string
	// MayBeEmpty allows the empty text, whatever the other fields require.
	MayBeEmpty bool
	// Secret keeps the text out of faults, because faults are logged.
	Secret bool
}

// DefaultMaxTextBytes is the greatest length of a text whose Max is zero.
const DefaultMaxTextBytes = 256

func (t Text[S]) max() int {
	if t.Max == 0 {
		return DefaultMaxTextBytes
	}
	return t.Max
}

func (t Text[S]) allowed() string {
	if len(t.OneOf) > 0 {
		quoted := make([]string, 0, len(t.OneOf))
		for _, value := range t.OneOf {
			quoted = append(quoted, strconv.Quote(string(value)))
		}
		return strings.Join(quoted, " or ")
	}
	form := t.Form
	if form == "" {
		form = "text"
	}
	return fmt.Sprintf("%s of 1 to %d bytes", form, t.max())
}

func (t Text[S]) isAllowed(text string) bool {
	switch {
	case text == "":
		return t.MayBeEmpty
	case len(t.OneOf) > 0:
		return slices.Contains(t.OneOf, S(text))
	case len(text) > t.max():
		return false
	case t.Pattern != nil && !t.Pattern.MatchString(text):
		return false
	}
	return t.Check == nil || t.Check(text)
}

func (t Text[S]) describeFound(n *node) string {
	if t.Secret && n.kind == kindString {
		return fmt.Sprintf("a secret of %d bytes", len(n.text))
	}
	return n.describeFound()
}

func (t Text[S]) read(n *node, into *S, faults *Faults) {
	if n.kind != kindString || !t.isAllowed(n.text) {
		faults.Add(n.path, t.describeFound(n), t.allowed())
		return
	}
	*into = S(n.text)
}

func (t Text[S]) write(out *bytes.Buffer, value S) {
	writeString(out, string(value))
}

func (t Text[S]) describe(out *[]Description, entry Description, value S) {
	describeValue(out, entry, "string", t, value)
}

// Integer is the codec of a whole JSON number from Min to Max inclusive.
type Integer[N ~int | ~int64] struct {
	Min N
	Max N
}

func (i Integer[N]) allowed() string {
	return fmt.Sprintf("a whole number from %d to %d", int64(i.Min), int64(i.Max))
}

func (i Integer[N]) read(n *node, into *N, faults *Faults) {
	value, err := strconv.ParseInt(n.text, 10, 64)
	if n.kind != kindNumber || err != nil || value < int64(i.Min) || value > int64(i.Max) {
		faults.Add(n.path, n.describeFound(), i.allowed())
		return
	}
	*into = N(value)
}

func (i Integer[N]) write(out *bytes.Buffer, value N) {
	out.WriteString(strconv.FormatInt(int64(value), 10))
}

func (i Integer[N]) describe(out *[]Description, entry Description, value N) {
	describeValue(out, entry, "number", i, value)
}

// Number is the codec of a JSON number from Min to Max inclusive.
type Number struct {
	Min float64
	Max float64
}

func (r Number) allowed() string {
	return fmt.Sprintf("a number from %g to %g", r.Min, r.Max)
}

func (r Number) read(n *node, into *float64, faults *Faults) {
	value, err := strconv.ParseFloat(n.text, 64)
	if n.kind != kindNumber || err != nil || math.IsNaN(value) || value < r.Min || value > r.Max {
		faults.Add(n.path, n.describeFound(), r.allowed())
		return
	}
	*into = value
}

func (r Number) write(out *bytes.Buffer, value float64) {
	out.WriteString(strconv.FormatFloat(value, 'g', -1, 64))
}

func (r Number) describe(out *[]Description, entry Description, value float64) {
	describeValue(out, entry, "number", r, value)
}

// Boolean is the codec of a JSON boolean.
type Boolean struct{}

func (f Boolean) allowed() string {
	return "true or false"
}

func (f Boolean) read(n *node, into *bool, faults *Faults) {
	if n.kind != kindBool {
		faults.Add(n.path, n.describeFound(), f.allowed())
		return
	}
	*into = n.boolean
}

func (f Boolean) write(out *bytes.Buffer, value bool) {
	out.WriteString(strconv.FormatBool(value))
}

func (f Boolean) describe(out *[]Description, entry Description, value bool) {
	describeValue(out, entry, "true or false", f, value)
}
