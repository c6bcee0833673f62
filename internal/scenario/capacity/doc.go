// Package capacity measures the cost of control traffic and control work, for
// docs/CAPACITY.md.
//
// # Usage
//
//	CICADALOOM_MEASURE=1 go test ./internal/scenario/capacity -run TestMeasure -v
//
// The tests start a platform of stand-ins and entry hosts in one process and print
// a table: TestMeasureControl the CPU time, bytes and key-value calls per host,
// TestMeasureInForce the time until an edit is in force on all hosts. They are
// skipped unless the variable is set, since figures of a busy machine mislead.
package capacity
