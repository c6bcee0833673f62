package streampeer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/grpcpeer"
)

type handler struct {
	kept   []streams.Stream
	answer streams.Answer
	asked  streams.ID
	of     ident.ServiceName
}

func (h *handler) KeepStreams(kept []streams.Stream) {
	h.kept = kept
}

func (h *handler) FindOrigin(id streams.ID, service ident.ServiceName) streams.Answer {
	h.asked, h.of = id, service
	return h.answer
}

func TestCallsTravelWhole(t *testing.T) {
	h := &handler{}
	var server grpcpeer.Server
	address, err := server.Start("127.0.0.1:0", func(registrar grpc.ServiceRegistrar) { Register(registrar, h) }, nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Stop()) }()
	var pool grpcpeer.Pool
	defer pool.Close()
	client := Client{
		Pool: &pool,
	}
	sent := streams.Stream{
		ID: streams.IDOf("r1"),
		Origin: streams.Origin{
			Service:   "s",
			Build:     "v1",
			ExpiresAt: time.Now().Add(20 * time.Second),
		},
	}
	require.NoError(t, client.Keep(context.Background(), address, []streams.Stream{sent}))
	require.Len(t, h.kept, 1)
	require.WithinDuration(t, sent.ExpiresAt, h.kept[0].ExpiresAt, 500*time.Millisecond)
	h.kept[0].ExpiresAt = sent.ExpiresAt
	require.Equal(t, sent, h.kept[0])

	h.answer.Builds = []ident.Build{"v1", "v2"}
	answer, err := client.Find(context.Background(), address, sent.ID, "s")
	require.NoError(t, err)
	require.Equal(t, h.answer, answer)
	require.Equal(t, sent.ID, h.asked)
	require.Equal(t, ident.ServiceName("s"), h.of)
	h.answer.Known, h.answer.Origin = true, sent.Origin
	answer, err = client.Find(context.Background(), address, sent.ID, "s")
	require.NoError(t, err)
	require.True(t, answer.Known)
	require.Equal(t, sent.Build, answer.Origin.Build)
}
