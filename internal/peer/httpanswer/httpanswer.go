// Package httpanswer checks the answers that net/http has parsed. Its parser is lenient: it accepts
// statuses that do not exist and, for the sake of old senders, names of fields that contain a blank,
// which it keeps as they are. A framing field with such a name, or a transfer encoding in an HTTP/1.0
// answer, is not applied, so that the body that is read is not the one that was sent.
//
// An answer that Check rejects proves nothing about its request, whatever it says. Among those that
// it accepts are lines that end with LF alone (RFC 9112, 2.2), and minor versions above 1, which are
// read as HTTP/1.1 (RFC 9110, 2.5).
//
// # Usage
//
//	var head httpanswer.Head // all bytes that reader got from the connection are added to it
//	response, err := http.ReadResponse(reader, request)
//	if err != nil {
//		return nil, err
//	}
//	if err := httpanswer.Check(response, &head); err != nil {
//		return nil, err
//	}
//	body, err := io.ReadAll(response.Body)
package httpanswer

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minFinalStatus = 200
	maxFinalStatus = 599 // RFC 9110, 15
)

// Check returns why a response is not a final HTTP/1 answer, nil if it is one. head is its head as it
// was received. The response's body is replaced: its end is an error if the trailer is invalid.
func Check(response *http.Response, head *Head) error {
	if response.ProtoMajor != 1 {
		return errors.Errorf("version: found %s, allowed HTTP/1", response.Proto)
	}
	if response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus {
		return errors.Errorf("status: found %d, allowed %d to %d", response.StatusCode, minFinalStatus, maxFinalStatus)
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	// HTTP/1.0 has no chunks: the parser drops the field, and takes them for the body (RFC 9112, 6.1).
	if head.hasField("Transfer-Encoding") {
		return errors.New("framing: found a transfer encoding, allowed none in HTTP/1.0")
	}
	response.Body = &body{
		ReadCloser: response.Body,
		response:   response,
	}
	return nil
}

func checkNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("name of a field: found %q, allowed a token", name)
		}
	}
	return nil
}

// body is the body of a response. Its trailer is known at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if trailerErr := checkNames(b.response.Trailer); trailerErr != nil {
		return n, errors.Wrap(trailerErr, "trailer")
	}
	return n, err
}
