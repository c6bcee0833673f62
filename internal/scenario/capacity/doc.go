// Package capacity measures what control costs, for docs/CAPACITY.md.
//
// # Usage
//
//	CICADALOOM_MEASURE=1 go test ./internal/scenario/capacity -run TestMeasure -v
//
// Its tests start a platform and entry hosts in one process and print tables of
// what each host spent. They are left out unless the variable is set: figures of
// a busy machine mislead.
package capacity
