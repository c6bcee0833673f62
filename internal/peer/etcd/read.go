package etcd

import (
	"context"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
	pb "cicadaloom/internal/wire/etcdserverpb"
	"cicadaloom/internal/wire/mvccpb"
)

// Get reads a key as it stands (linearizable). An absent key has revision zero.
// The error is store.ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	call, ctx, cancel := c.begin(ctx, callGet)
	defer cancel()
	response, err := c.kv.Range(ctx, &pb.RangeRequest{
		Key: []byte(key),
	})
	if err != nil {
		return store.Entry{}, call.readFailed(err)
	}
	c.fleet.Store(response.Header.GetClusterId())
	return entryOrAbsent(key, response.Kvs), nil
}

// List reads all entries under a prefix, at one revision and in the order of
// their keys (linearizable). The error is store.ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	call, ctx, cancel := c.begin(ctx, callList)
	defer cancel()
	keys := underPrefix(prefix)
	response, err := c.kv.Range(ctx, &pb.RangeRequest{
		Key:      keys.first,
		RangeEnd: keys.end,
	})
	if err != nil {
		return store.Listing{}, call.readFailed(err)
	}
	c.fleet.Store(response.Header.GetClusterId())
	listing := store.Listing{
		Revision: ident.Revision(response.Header.GetRevision()),
	}
	for _, kv := range response.Kvs {
		listing.Entries = append(listing.Entries, entry(kv))
	}
	return listing, nil
}

// keyRange is the first key of a range and the one after its last.
type keyRange struct {
	first []byte
	end   []byte
}

// underPrefix is the range of the keys that begin with a prefix. Where no key
// can come after them, as for the empty prefix, etcd's end is a zero byte.
func underPrefix(prefix string) keyRange {
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

func entry(kv *mvccpb.KeyValue) store.Entry {
	return store.Entry{
		Key:      string(kv.GetKey()),
		Value:    kv.GetValue(),
		Revision: ident.Revision(kv.GetModRevision()),
		Lease:    store.LeaseID(kv.GetLease()),
	}
}

func entryOrAbsent(key string, found []*mvccpb.KeyValue) store.Entry {
	if len(found) == 0 {
		return store.Entry{
			Key: key,
		}
	}
	return entry(found[0])
}
