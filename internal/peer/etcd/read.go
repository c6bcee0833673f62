package etcd

import (
	"context"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// Get reads a key (linearizable). The entry of an absent key has revision zero. The
// error is store.ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	call, ctx, cancel := c.startCall(ctx, callGet)
	defer cancel()
	response, err := c.kv.Range(ctx, &pb.RangeRequest{
		Key: []byte(key),
	})
	if err != nil {
		return store.Entry{}, call.newReadError(err)
	}
	c.clusterID.Store(response.Header.GetClusterId())
	return decodeEntryOrAbsent(key, response.Kvs), nil
}

// List reads all entries under a prefix at one revision, sorted by key (linearizable).
// The error is store.ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	call, ctx, cancel := c.startCall(ctx, callList)
	defer cancel()
	keys := prefixRange(prefix)
	response, err := c.kv.Range(ctx, &pb.RangeRequest{
		Key:      keys.first,
		RangeEnd: keys.end,
	})
	if err != nil {
		return store.Listing{}, call.newReadError(err)
	}
	c.clusterID.Store(response.Header.GetClusterId())
	listing := store.Listing{
		Revision: ident.Revision(response.Header.GetRevision()),
	}
	for _, kv := range response.Kvs {
		listing.Entries = append(listing.Entries, decodeEntry(kv))
	}
	return listing, nil
}

// keyRange has the first key of a range and its exclusive end.
type keyRange struct {
	first []byte
	end   []byte
}

// prefixRange returns the range of the keys that begin with a prefix. If no key can
// follow them, as for the empty prefix, the end is a zero byte, which means no end in
// etcd.
func prefixRange(prefix string) keyRange {
	keys := keyRange{
		first: []byte(prefix),
		end:   []byte{0},
	}
	if prefix == "" {
		keys.first = []byte{0}
	}
	for last := len(prefix) - 1; last >= 0; last-- {
		if prefix[last] < 0xff {
			keys.end = append([]byte(prefix[:last]), prefix[last]+1)
			break
		}
	}
	return keys
}

func decodeEntry(kv *mvccpb.KeyValue) store.Entry {
	return store.Entry{
		Key:      string(kv.GetKey()),
		Value:    kv.GetValue(),
		Revision: ident.Revision(kv.GetModRevision()),
		Lease:    store.LeaseID(kv.GetLease()),
	}
}

func decodeEntryOrAbsent(key string, found []*mvccpb.KeyValue) store.Entry {
	if len(found) == 0 {
		return store.Entry{
			Key: key,
		}
	}
	return decodeEntry(found[0])
}
