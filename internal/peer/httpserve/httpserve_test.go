package httpserve

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a stop that waits, and then fails, for a connection on which its client has sent
// nothing yet.
func TestStopDoesNotWaitForUnusedConnection(t *testing.T) {
	var server Server
	address, err := server.Start("127.0.0.1:0", Options{
		Handler: http.NotFoundHandler(),
		Log:     zap.NewNop(),
	})
	require.NoError(t, err)
	unused, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { require.NoError(t, unused.Close()) }()
	response, err := http.Get("http://" + address) // the server has accepted the first connection by now
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, server.Stop(ctx))
}
