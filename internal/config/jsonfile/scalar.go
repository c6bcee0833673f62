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

// Text reads a JSON string. The zero value allows any text that is not empty.
type Text[S ~string] struct {
	// Max is the greatest number of bytes; zero means DefaultTextMax.
	Max int
	// OneOf, if set, lists the values allowed.
	OneOf []S
	// Pattern, if set, must match (anchor it for the whole text); Check, if set,
	// must agree.
	Pattern *regexp.Regexp
	Check   func(text string) bool
	// Form says in words what Pattern and Check allow.
	Form string
	// MayBeEmpty allows the empty text, whatever the rest says.
	MayBeEmpty bool
	// Secret keeps the text out of faults, which end up in logs.
	Secret bool
}

// DefaultTextMax is the greatest length of a text that sets no other.
const DefaultTextMax = 256

func (t Text[S]) max() int {
	if t.Max == 0 {
		return DefaultTextMax
	}
	return t.Max
}

func (t Text[S]) allowed() string {
	if len(t.OneOf) > 0 {
		words := make([]string, 0, len(t.OneOf))
		for _, word := range t.OneOf {
			words = append(words, strconv.Quote(string(word)))
		}
		return strings.Join(words, " or ")
	}
	form := t.Form
	if form == "" {
		form = "text"
	}
	return fmt.Sprintf("%s of 1 to %d bytes", form, t.max())
}

func (t Text[S]) sound(text string) bool {
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

func (t Text[S]) found(n *node) string {
	if t.Secret && n.kind == kindString {
		return fmt.Sprintf("a secret of %d bytes", len(n.text))
	}
	return n.found()
}

func (t Text[S]) read(n *node, into *S, faults *Faults) {
	if n.kind != kindString || !t.sound(n.text) {
		faults.Add(n.path, t.found(n), t.allowed())
		return
	}
	*into = S(n.text)
}

func (t Text[S]) write(out *bytes.Buffer, value S) {
	writeString(out, string(value))
}

func (t Text[S]) describe(out *[]Description, about Description, value S) {
	describeScalar(out, about, "string", t, value)
}

// Integer reads a whole JSON number between Min and Max, both allowed.
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
		faults.Add(n.path, n.found(), i.allowed())
		return
	}
	*into = N(value)
}

func (i Integer[N]) write(out *bytes.Buffer, value N) {
	out.WriteString(strconv.FormatInt(int64(value), 10))
}

func (i Integer[N]) describe(out *[]Description, about Description, value N) {
	describeScalar(out, about, "number", i, value)
}

// Number reads a JSON number between Min and Max, both allowed.
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
		faults.Add(n.path, n.found(), r.allowed())
		return
	}
	*into = value
}

func (r Number) write(out *bytes.Buffer, value float64) {
	out.WriteString(strconv.FormatFloat(value, 'g', -1, 64))
}

func (r Number) describe(out *[]Description, about Description, value float64) {
	describeScalar(out, about, "number", r, value)
}

// Flag reads true or false.
type Flag struct{}

func (f Flag) allowed() string {
	return "true or false"
}

func (f Flag) read(n *node, into *bool, faults *Faults) {
	if n.kind != kindBool {
		faults.Add(n.path, n.found(), f.allowed())
		return
	}
	*into = n.flag
}

func (f Flag) write(out *bytes.Buffer, value bool) {
	out.WriteString(strconv.FormatBool(value))
}

func (f Flag) describe(out *[]Description, about Description, value bool) {
	describeScalar(out, about, "true or false", f, value)
}
