package httpsend

import (
	"io"
	"math"

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
	if length > limit {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	size := length
	if length < 0 {
		size = min(limit, math.MaxInt64-1) + 1 // the last byte is one too many
	}
	var whole []byte
	for filled := int64(0); ; {
		if filled == int64(len(whole)) {
			if filled == size {
				break
			}
			grown := min(max(2*filled, firstPartBytes), size)
			if !hold.Grow(int(grown - filled)) {
				return nil, ErrNoRoom
			}
			larger := make([]byte, grown)
			copy(larger, whole)
			whole = larger
		}
		n, err := body.Read(whole[filled:])
		filled += int64(n)
		switch {
		case errors.Is(err, io.EOF) && length > 0 && filled < length:
			return nil, errors.Wrap(io.ErrUnexpectedEOF, "body")
		case errors.Is(err, io.EOF) && filled <= limit:
			return whole[:filled], nil
		case err != nil && !errors.Is(err, io.EOF):
			return nil, errors.Wrap(err, "body")
		}
	}
	if length < 0 {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
	}
	return whole, nil
}
