package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"
)

// Keys of this project's hosts, below Layout.HostPrefix.
const (
	hostsPath = "hosts/"
	// watchersPath lists the watchers of each data centre. There are few of them: hosts that
	// start read them in place of all hosts.
	watchersPath = "watchers/"
	leaderPath   = "holder"
	// termPath is written by each new leader and never deleted: it shows that there has been
	// a leader.
	termPath = "term"
	// settledPath has the number of the latest term whose leader is known to have been apart from
	// all leaders before it.
	settledPath = "settled"
	// refusedPath has the suspects. Earlier versions wrote only those that are refused.
	refusedPath = "refused"
	// buildsPath has the history of builds: see streams.History.
	buildsPath = "builds"
)

// hostsPrefix is the prefix of the entries of a data centre's hosts.
func (l *Layout) hostsPrefix(dataCentre ident.DataCentre) string {
	return l.HostPrefix + hostsPath + string(dataCentre) + "/"
}

func (l *Layout) hostKey(dataCentre ident.DataCentre, name ident.HostID) string {
	return l.hostsPrefix(dataCentre) + string(name)
}

// watchersPrefix is the prefix of the entries of a data centre's watchers.
func (l *Layout) watchersPrefix(dataCentre ident.DataCentre) string {
	return l.HostPrefix + watchersPath + string(dataCentre) + "/"
}

func (l *Layout) watcherKey(dataCentre ident.DataCentre, name ident.HostID) string {
	return l.watchersPrefix(dataCentre) + string(name)
}

func (l *Layout) leaderKey() string {
	return l.HostPrefix + leaderPath
}

func (l *Layout) termKey() string {
	return l.HostPrefix + termPath
}

func (l *Layout) settledKey() string {
	return l.HostPrefix + settledPath
}

func (l *Layout) suspectsKey() string {
	return l.HostPrefix + refusedPath
}

func (l *Layout) buildsKey() string {
	return l.HostPrefix + buildsPath
}

// hostIDOf returns the host whose entry a key is, empty for all other keys.
func (l *Layout) hostIDOf(key string) ident.HostID {
	below, found := strings.CutPrefix(key, l.HostPrefix+hostsPath)
	if !found {
		return ""
	}
	_, name, _ := strings.Cut(below, "/")
	return ident.HostID(name)
}

const (
	// hostLeaseDuration is how long a host's entry outlives it. The entry only says which
	// hosts to ask: no guarantee depends on it. Each renewal is a call.
	hostLeaseDuration = 20 * time.Second
	hostRenewInterval = 6 * time.Second
)

// hostEntry is a host's entry in the key-value service.
type hostEntry struct {
	Peers      string
	DataCentre string
	Region     string
	// Began is when the host's process started, in Unix milliseconds of its clock.
	Began int64
	// Power is the host's CPU capacity, in cores of ordinary speed.
	Power float64
}

// watcherEntry is a watcher's entry in the key-value service. NearHosts is how many hosts its
// data centre has.
type watcherEntry struct {
	Peers     string
	NearHosts int64
}

// register writes this host's entry and renews its lease.
func (g *Gateway) register() error {
	for g.tomb.Alive() {
		ctx := g.context()
		lease, err := g.writeEntry(ctx)
		if err != nil {
			g.log.Debug("host entry not written", zap.Error(err))
			g.sleep(maxRetryDelay)
			continue
		}
		g.keepEntry(ctx, lease)
	}
	return nil
}

func (g *Gateway) writeEntry(ctx context.Context) (store.LeaseID, error) {
	lease, _, err := g.options.KeyValue.GrantLease(ctx, hostLeaseDuration)
	if err != nil {
		return 0, err
	}
	host := &g.options.Settings.Host
	value, err := json.Marshal(hostEntry{
		Peers:      g.options.Settings.Listen.Peers,
		DataCentre: string(host.DataCentre),
		Region:     string(host.Region),
		Began:      processStart.UnixMilli(),
		Power:      g.options.Settings.Processor.CPUCapacity(),
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode host entry")
	}
	_, err = g.options.KeyValue.Swap(ctx, store.Swap{
		Puts: []store.Put{{
			Key:   g.options.Layout.hostKey(host.DataCentre, host.Name),
			Value: value,
			Lease: lease,
		}},
	})
	return lease, err
}

// keepEntry renews the lease until the service has ended it. Other failures leave
// the entry as it is: the service may be unavailable, and no lease expires then.
func (g *Gateway) keepEntry(ctx context.Context, lease store.LeaseID) {
	isListed := false
	for {
		g.sleep(hostRenewInterval)
		if !g.tomb.Alive() {
			return
		}
		err := g.options.KeyValue.RenewLease(ctx, lease)
		if errors.Is(err, store.ErrLeaseGone) {
			return
		}
		if err != nil {
			g.post(storeCallFailed{})
			continue
		}
		if watchers := g.watchers.Load(); isListed != watchers.isOwn() {
			if err := g.listAsWatcher(ctx, lease, !isListed); err != nil {
				g.log.Debug("watcher entry not changed", zap.Error(err))
				continue
			}
			isListed = !isListed
		}
	}
}

// listAsWatcher writes or deletes this host's entry as a watcher.
func (g *Gateway) listAsWatcher(ctx context.Context, lease store.LeaseID, isWatcher bool) error {
	host := &g.options.Settings.Host
	key := g.options.Layout.watcherKey(host.DataCentre, host.Name)
	swap := store.Swap{
		Deletes: []string{key},
	}
	if isWatcher {
		value, err := json.Marshal(watcherEntry{
			Peers:     g.options.Settings.Listen.Peers,
			NearHosts: g.nearHostCount.Load(),
		})
		if err != nil {
			return errors.Wrap(err, "encode watcher entry")
		}
		swap = store.Swap{
			Puts: []store.Put{{
				Key:   key,
				Value: value,
				Lease: lease,
			}},
		}
	}
	_, err := g.options.KeyValue.Swap(ctx, swap)
	return err
}

// decodeHost decodes a host's entry.
func decodeHost(value []byte) (hostInfo, error) {
	var wire hostEntry
	if err := json.Unmarshal(value, &wire); err != nil {
		return hostInfo{}, errors.Wrap(err, "decode host entry")
	}
	return hostInfo{
		address:     wire.Peers,
		dataCentre:  ident.DataCentre(wire.DataCentre),
		region:      ident.Region(wire.Region),
		cpuCapacity: wire.Power,
		startedAt:   time.UnixMilli(wire.Began),
	}, nil
}
