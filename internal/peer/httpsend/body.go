package httpsend

import (
	"io"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/heldbytes"
)

// firstPartBytes is how much of a body of unknown length is held before any of it has arrived.
const firstPartBytes = 2 << 10

var (
	// ErrTooLarge says that a body is larger than its limit.
	ErrTooLarge = errors.New("body larger than allowed")
	// ErrNoRoom says that this host holds as many bytes as it may.
	ErrNoRoom = errors.New("the host has no memory left for this")
)

// ReadBody reads a body to its end. A body longer than limit bytes is ErrTooLarge.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	var hold heldbytes.Hold
	return ReadHeldBody(body, -1, limit, &hold)
}

// ReadHeldBody reads a body to its end, and holds its bytes as they arrive. length is the sender's word
// on it, -1 for none. The error is ErrTooLarge for more than limit bytes, ErrNoRoom, or that of the
// connection.
func ReadHeldBody(body io.Reader, length, limit int64, hold *heldbytes.Hold) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	size := length
	if length < 0 {
		size = limit + 1 // the last byte is one too many
	}
	if length > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	var whole []byte
	filled := int64(0)
	for filled < size {
		if filled == int64(len(whole)) {
			if whole = growBody(whole, size, hold); whole == nil {
				return nil, ErrNoRoom
			}
		}
		n, err := body.Read(whole[filled:])
		filled += int64(n)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "body")
		}
		if err != nil {
			break
		}
	}
	switch {
	case filled < length:
		return nil, errors.Wrap(io.ErrUnexpectedEOF, "body")
	case filled > limit:
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	default:
		return whole[:filled], nil
	}
}

// growBody returns a copy of a body with room for more, up to size bytes; nil if the hold has no room.
func growBody(whole []byte, size int64, hold *heldbytes.Hold) []byte {
	filled := int64(len(whole))
	grown := min(max(2*filled, firstPartBytes), size)
	if !hold.Grow(int(grown - filled)) {
		return nil
	}
	larger := make([]byte, grown)
	copy(larger, whole)
	return larger
}
