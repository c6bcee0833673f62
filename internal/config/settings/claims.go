package settings

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/unit"
)

// Claims configures the claims of requests that may not be repeated. It must be
// the same on all hosts: two hosts with different partition counts would look for
// the claim of the same request in different partitions.
type Claims struct {
	Partitions int
	// Pace is the minimum interval between two writes of one partition.
	Pace time.Duration
	// Keep is the retention time of a claim.
	Keep time.Duration
	// SegmentSize is the size at which a segment is full and the next one is
	// started.
	SegmentSize unit.Bytes
}

func defaultClaims() Claims {
	return Claims{
		Partitions:  16,
		Pace:        100 * time.Millisecond,
		Keep:        24 * time.Hour,
		SegmentSize: unit.Kibibyte,
	}
}

var claimsTable = jsonfile.Object[Claims]{
	Members: []jsonfile.Member[Claims]{
		jsonfile.Optional("Partitions", func(c *Claims) *int { return &c.Partitions },
			jsonfile.Integer[int]{
				Min: 1,
				Max: 1024,
			},
			"Into how many partitions claims are spread; the same on every host, and never changed while claims are kept."),
		jsonfile.Optional("Pace", func(c *Claims) *time.Duration { return &c.Pace },
			jsonfile.Duration{
				Min: 0,
				Max: 5 * time.Second,
			},
			"The least time between two writes of one partition."),
		jsonfile.Optional("Keep", func(c *Claims) *time.Duration { return &c.Keep },
			jsonfile.Duration{
				Min: time.Minute,
				Max: 30 * 24 * time.Hour,
			},
			"How long a claim is remembered: a repeat after that would run again."),
		jsonfile.Optional("SegmentSize", func(c *Claims) *unit.Bytes { return &c.SegmentSize },
			jsonfile.Bytes{
				Min: 512 * unit.Byte,
				Max: 512 * unit.Kibibyte,
			},
			"How large a segment of claims grows; each write writes the newest segment anew, so a large one costs traffic."),
	},
}
