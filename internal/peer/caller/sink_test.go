package caller

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/traffic/dispatch"
)

// endlessDispatcher writes chunks until the caller disconnects or a write fails.
type endlessDispatcher struct {
	Dispatcher
	ended chan struct{}
}

func (f endlessDispatcher) ServeChat(_ context.Context, _ dispatch.ChatRequest, sink dispatch.Sink) *dispatch.Failure {
	defer close(f.ended)
	sink.StartStream()
	event := make([]byte, minBytesPerSecond-100)
	for i := range event {
		event[i] = 'x'
	}
	for sink.SendChunk(event) == nil {
	}
	return dispatch.NewNotSentFailure(dispatch.CodeCancelled, "the caller has gone", time.Time{})
}

// A caller asks for a stream, stops reading and keeps its connection. Its request must
// end after the write timeout, or the host could never shut down.
func TestStalledReaderEndsRequest(t *testing.T) {
	loaded := settings.Default()
	dispatcher := endlessDispatcher{
		ended: make(chan struct{}),
	}
	server := &Server{
		Dispatcher:   dispatcher,
		ControlPlane: emptyControlPlane{},
		Settings:     loaded.Callers,
		Log:          zap.NewNop(),
		writeTimeout: 200 * time.Millisecond,
	}
	address, err := server.Start("127.0.0.1:0")
	require.NoError(t, err)
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer connection.Close()
	body := `{"model":"m","stream":true,"messages":[{}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+address+PathChat, nil)
	require.NoError(t, err)
	_, err = connection.Write([]byte("POST " + request.URL.Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 43\r\n\r\n" + body))
	require.NoError(t, err)
	select {
	case <-dispatcher.ended:
	case <-time.After(defaultWriteTimeout):
		t.Fatal("the request is still in flight though its caller does not read")
	}
	require.NoError(t, server.Stop(context.Background()))
}

// emptyControlPlane has no documents.
type emptyControlPlane struct{ dispatch.ControlPlane }

func (emptyControlPlane) Table() *routing.Table { return nil }
