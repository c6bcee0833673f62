package upstream

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// bodyWriteTimeout is how long the end of an answer without a length waits for the request's body.
// Writing to a connection that was reset fails at once; a server that has closed only its own
// direction may read on for long.
const bodyWriteTimeout = 2 * time.Second

// closeDelimitedBody is the body of an answer that ends with its connection. The kernel returns a
// reset to one call only: if that is the write of the request's body, reading returns io.EOF as if the
// server had closed the connection in order.
type closeDelimitedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.exchange.awaitBodyWritten(); writeErr != nil {
		return n, errors.Wrap(writeErr, "the connection ended while the request was written")
	}
	return n, err
}

// awaitBodyWritten waits for the end of the request's body, and returns why it can't be written.
func (e *Exchange) awaitBodyWritten() error {
	if e.bodyWritten.Load() {
		return nil
	}
	timer := time.NewTimer(bodyWriteTimeout)
	defer timer.Stop()
	select {
	case <-e.bodyWriter.Dead():
		return e.bodyWriter.Err()
	case <-timer.C:
		return nil
	}
}
