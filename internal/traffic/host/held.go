package host

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/domain/unit"
)

const (
	// heldShare is the part of the memory that bodies may take while they are read from backend
	// servers, maxAnswerBytes the greatest length of one.
	heldShare      = 0.25
	maxAnswerBytes = 8 * unit.Mebibyte
)

// newHeldBytes returns the budget of bodies that are being read: a part of the machine's memory, or of
// Go's memory limit if that is less. It has no bound if the memory can't be found.
func newHeldBytes() *heldbytes.Budget {
	var machine unix.Sysinfo_t
	if err := unix.Sysinfo(&machine); err != nil {
		return nil
	}
	memory := machine.Totalram * uint64(machine.Unit)
	limit := debug.SetMemoryLimit(-1) // a negative one changes nothing
	memory = min(memory, uint64(limit))
	return heldbytes.New(unit.Bytes(float64(memory)*heldShare), maxAnswerBytes)
}
