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

// flood is a dispatcher whose answers never end before their caller does.
type flood struct {
	Dispatcher
	ended chan struct{}
}

func (f flood) Chat(_ context.Context, _ dispatch.Chat, sink dispatch.Sink) *dispatch.Failure {
	defer close(f.ended)
	sink.Begin()
	event := make([]byte, slowestReader-100)
	for i := range event {
		event[i] = 'x'
	}
	for sink.Chunk(event) == nil {
	}
	return dispatch.Untouched(dispatch.CodeCancelled, "the caller has gone", time.Time{})
}

// A caller asks for a stream, stops reading and keeps its connection. Its
// request must end once it has had its time, or the host could never stop.
func TestCallerThatStopsReadingIsLetGo(t *testing.T) {
	loaded := settings.Default()
	dispatcher := flood{
		ended: make(chan struct{}),
	}
	server := &Server{
		Dispatcher: dispatcher,
		Knowledge:  noKnowledge{},
		Settings:   loaded.Callers,
		Log:        zap.NewNop(),
		patience:   200 * time.Millisecond,
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
	case <-time.After(writePatience):
		t.Fatal("the request goes on though its caller doesn't read")
	}
	require.NoError(t, server.Stop(context.Background()))
}

// noKnowledge is a host that knows nothing.
type noKnowledge struct{ dispatch.Knowledge }

func (noKnowledge) Table() *routing.Table { return nil }
