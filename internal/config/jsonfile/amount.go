package jsonfile

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cicadaloom/internal/domain/unit"
)

// Duration is the codec of a duration such as "1.6s", from Min to Max inclusive.
type Duration struct {
	Min time.Duration
	Max time.Duration
}

func (d Duration) allowed() string {
	return fmt.Sprintf("a length of time such as \"1.6s\" from %s to %s", formatDuration(d.Min), formatDuration(d.Max))
}

func (d Duration) read(n *node, into *time.Duration, faults *Faults) {
	value, err := time.ParseDuration(n.text)
	if n.kind != kindString || err != nil || value < d.Min || value > d.Max {
		faults.Add(n.path, n.describeFound(), d.allowed())
		return
	}
	*into = value
}

func (d Duration) write(out *bytes.Buffer, value time.Duration) {
	writeString(out, formatDuration(value))
}

func (d Duration) describe(out *[]Description, entry Description, value time.Duration) {
	describeValue(out, entry, "string", d, value)
}

// formatDuration omits the trailing zero parts that time.Duration.String keeps:
// "24h" instead of "24h0m0s".
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Bytes is the codec of an amount of memory such as "20GiB" or "512MiB", from Min
// to Max inclusive.
type Bytes struct {
	Min unit.Bytes
	Max unit.Bytes
}

type bytesUnit struct {
	name string
	size unit.Bytes
}

// bytesUnits is sorted from the largest to the smallest. parseBytes matches
// suffixes in this order, and every other unit also ends in "B".
var bytesUnits = []bytesUnit{
	{
		name: "GiB",
		size: unit.Gibibyte,
	},
	{
		name: "MiB",
		size: unit.Mebibyte,
	},
	{
		name: "KiB",
		size: unit.Kibibyte,
	},
	{
		name: "B",
		size: unit.Byte,
	},
}

func (b Bytes) allowed() string {
	return fmt.Sprintf("an amount such as \"20GiB\" (B, KiB, MiB, GiB) from %s to %s", formatBytes(b.Min), formatBytes(b.Max))
}

func (b Bytes) read(n *node, into *unit.Bytes, faults *Faults) {
	value, isValid := parseBytes(n.text)
	if n.kind != kindString || !isValid || value < b.Min || value > b.Max {
		faults.Add(n.path, n.describeFound(), b.allowed())
		return
	}
	*into = value
}

func (b Bytes) write(out *bytes.Buffer, value unit.Bytes) {
	writeString(out, formatBytes(value))
}

func (b Bytes) describe(out *[]Description, entry Description, value unit.Bytes) {
	describeValue(out, entry, "string", b, value)
}

// parseBytes accepts only amounts that are a whole number of bytes.
func parseBytes(text string) (unit.Bytes, bool) {
	for _, u := range bytesUnits {
		number, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		if strings.Trim(number, "0123456789.") != "" {
			return 0, false // ParseFloat would accept "0x1p4" and "Inf"
		}
		value, err := strconv.ParseFloat(number, 64)
		amount := value * float64(u.size)
		if err != nil || amount != math.Trunc(amount) || amount >= math.MaxInt64 {
			return 0, false
		}
		return unit.Bytes(amount), true
	}
	return 0, false
}

// formatBytes returns the exact amount in the largest unit that divides it.
func formatBytes(amount unit.Bytes) string {
	for _, u := range bytesUnits {
		if amount >= u.size && amount%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(amount/u.size), u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(amount))
}
