// Package unit has types for amounts and rates, so that fields need no unit
// in their names.
//
// # Usage
//
//	var free unit.Bytes = 80 * unit.Gibibyte
//	fmt.Println(free) // 80.0GiB
package unit

import "fmt"

// Bytes is an amount of memory or traffic.
type Bytes int64

// Multiples of Bytes.
const (
	Byte     Bytes = 1
	Kibibyte Bytes = 1024 * Byte
	Mebibyte Bytes = 1024 * Kibibyte
	Gibibyte Bytes = 1024 * Mebibyte
)

// String formats the amount in the largest unit of which it has at least one.
func (b Bytes) String() string {
	switch {
	case b >= Gibibyte:
		return fmt.Sprintf("%.1fGiB", float64(b)/float64(Gibibyte))
	case b >= Mebibyte:
		return fmt.Sprintf("%.1fMiB", float64(b)/float64(Mebibyte))
	case b >= Kibibyte:
		return fmt.Sprintf("%.1fKiB", float64(b)/float64(Kibibyte))
	}
	return fmt.Sprintf("%dB", int64(b))
}

// Tokens is a number of tokens of a model.
type Tokens int64

// Rate is a number of requests a second.
type Rate float64
