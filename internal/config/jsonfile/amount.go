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

// Duration reads a length of time such as "1.6s", between Min and Max, both
// allowed.
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
		faults.Add(n.path, n.found(), d.allowed())
		return
	}
	*into = value
}

func (d Duration) write(out *bytes.Buffer, value time.Duration) {
	writeString(out, formatDuration(value))
}

func (d Duration) describe(out *[]Description, about Description, value time.Duration) {
	describeScalar(out, about, "string", d, value)
}

// formatDuration leaves out the zero parts that time.Duration.String keeps:
// "24h" in place of "24h0m0s".
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

// Bytes reads an amount such as "20GiB" or "512MiB", between Min and Max, both
// allowed.
type Bytes struct {
	Min unit.Bytes
	Max unit.Bytes
}

type bytesUnit struct {
	name string
	size unit.Bytes
}

// The units, the largest first: "B" is the end of all the others.
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
	value, sound := parseBytes(n.text)
	if n.kind != kindString || !sound || value < b.Min || value > b.Max {
		faults.Add(n.path, n.found(), b.allowed())
		return
	}
	*into = value
}

func (b Bytes) write(out *bytes.Buffer, value unit.Bytes) {
	writeString(out, formatBytes(value))
}

func (b Bytes) describe(out *[]Description, about Description, value unit.Bytes) {
	describeScalar(out, about, "string", b, value)
}

// parseBytes takes only amounts that are a whole number of bytes.
func parseBytes(text string) (unit.Bytes, bool) {
	for _, u := range bytesUnits {
		digits, found := strings.CutSuffix(text, u.name)
		if !found {
			continue
		}
		if strings.Trim(digits, "0123456789.") != "" {
			return 0, false // ParseFloat would take "0x1p4" and "Inf"
		}
		value, err := strconv.ParseFloat(digits, 64)
		amount := value * float64(u.size)
		if err != nil || amount != math.Trunc(amount) || amount >= math.MaxInt64 {
			return 0, false
		}
		return unit.Bytes(amount), true
	}
	return 0, false
}

// formatBytes gives the amount exactly, in the largest unit that divides it.
func formatBytes(amount unit.Bytes) string {
	for _, u := range bytesUnits {
		if amount >= u.size && amount%u.size == 0 {
			return fmt.Sprintf("%d%s", int64(amount/u.size), u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(amount))
}
