package weights_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/peer/weights"
	standin "cicadaloom/internal/standin/weights"
)

func TestStatus(t *testing.T) {
	store := standin.New(standin.Options{})
	address, err := store.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, store.Stop()) }()
	client := weights.Client{
		Address: address,
	}
	defer client.Close()
	status, err := client.FetchStatus(context.Background())
	require.NoError(t, err)
	require.Zero(t, status)
	store.Faults.Set(standin.Faults{
		Down: true,
	})
	_, err = client.FetchStatus(context.Background())
	require.Error(t, err)
}
