package httpsend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"cicadaloom/internal/peer/httpanswer"
)

// Transport is an http.Transport that rejects answers which are not valid HTTP/1 (package
// httpanswer), and that doesn't take a broken connection for the end of an answer.
type Transport struct {
	*http.Transport
}

// NewTransport returns a Transport that uses another one, whose connections it wraps.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newRecordingConn(conn), nil
	}
	return &Transport{
		Transport: base,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used atomic.Pointer[recordingConn]
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, isRecording := info.Conn.(*recordingConn); isRecording { // not with TLS
				conn.beginAnswer()
				used.Store(conn)
			}
		},
	})
	response, err := t.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	var head httpanswer.Head
	if conn := used.Load(); conn != nil {
		head = conn.answerHead()
	}
	if err := httpanswer.Check(response, &head); err != nil {
		_ = response.Body.Close() // the answer is dropped
		return nil, err
	}
	return response, nil
}
