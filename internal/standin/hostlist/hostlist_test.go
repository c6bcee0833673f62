package hostlist

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
)

func TestListVersionsAreBounded(t *testing.T) {
	list := New(Options{})
	host := backend.Server{
		Name: "gpu-1",
	}
	for i := range maxVersions * 2 {
		host.Address = fmt.Sprint(i)
		list.Put(host)
	}
	require.Len(t, list.versions, maxVersions)
	require.Equal(t, []backend.Server{host}, list.Served())
	list.Remove(host.Name)
	require.Empty(t, list.Served())
}

func TestInvalidEntryIsRefused(t *testing.T) {
	list := New(Options{})
	address, err := list.Start("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, list.Stop()) }()
	host := backend.Server{
		Name:    "gpu-1",
		Kind:    backend.KindEngine,
		State:   "Dead",
		Address: "127.0.0.1:1",
	}
	require.ErrorContains(t, Register(context.Background(), address, host), "State")
	host.State = backend.StateLive
	require.NoError(t, Register(context.Background(), address, host))
	require.Equal(t, []backend.Server{host}, list.Served())
	list.Faults.Set(Faults{
		Down: true,
	})
	require.Error(t, Deregister(context.Background(), address, host.Name))
}
