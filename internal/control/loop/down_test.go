package loop

import (
	"context"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// down is a key-value service in an outage.
type down struct{}

func (down) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

func (down) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable
}

func (down) Swap(context.Context, store.Swap) (store.SwapResult, error) {
	return store.SwapResult{}, store.ErrUnavailable
}

func (down) Watch(context.Context, string, ident.Revision, func(store.Batch) error) error {
	return store.ErrWatchBroken
}

func (down) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, store.ErrUnavailable
}

func (down) KeepLease(context.Context, store.LeaseID) (bool, error) {
	return false, store.ErrUnavailable
}

func (down) RevokeLease(context.Context, store.LeaseID) error {
	return store.ErrUnavailable
}
