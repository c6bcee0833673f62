package loop

import (
	"context"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// unavailableKeyValue is a key-value service in an outage.
type unavailableKeyValue struct{}

func (unavailableKeyValue) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

func (unavailableKeyValue) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnavailable
}

func (unavailableKeyValue) Swap(context.Context, store.Swap) (store.SwapResult, error) {
	return store.SwapResult{}, store.ErrUnavailable
}

func (unavailableKeyValue) Watch(context.Context, string, ident.Revision, func(store.Batch) error) error {
	return store.ErrWatchBroken
}

func (unavailableKeyValue) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 0, store.ErrUnavailable
}

func (unavailableKeyValue) RenewLease(context.Context, store.LeaseID) (bool, error) {
	return false, store.ErrUnavailable
}

func (unavailableKeyValue) RevokeLease(context.Context, store.LeaseID) error {
	return store.ErrUnavailable
}
