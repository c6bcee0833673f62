// Package fleet runs a whole fleet in one process on loopback addresses: simulated
// platform services (key-value service, host list, weight store), engines and plain
// services, and real entry hosts. Start returns when the team's document is in force
// and every model and adapter answers. Package experiment calls it.
//
// # Usage
//
//	running, err := fleet.Start(ctx, fleet.Options{
//		Size:    size,
//		Routing: settings.LeastCost,
//	})
//	defer running.Stop()
//	running.Engines[0].Faults.Set(...)
//
// The exported fields of Fleet are set by Start and not changed afterwards. Kill and
// Stop must not be called concurrently.
//
// # What is not modelled
//
// The network between the parts has the latency of loopback and no bandwidth limit,
// and everything is in one region. All parts share one process, its heap and its
// cores: a load run that takes more than about half of the machine measures the
// machine.
package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/sizes"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/etcd"
	"cicadaloom/internal/standin/hostlist"
	"cicadaloom/internal/standin/plain"
	"cicadaloom/internal/standin/weights"
	"cicadaloom/internal/traffic/host"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	// loadsPerSecond makes the weight store fast, since the set-up of the fleet is
	// not part of what is measured.
	loadsPerSecond = 400
	readyTimeout   = 60 * time.Second
	// stopTimeout bounds the graceful stop of all hosts together.
	stopTimeout = 5 * time.Second
	adminToken  = "admin-token-of-the-load-tool"
	teamToken   = "team-token-of-the-load-tool"
)

// Options describe the fleet.
type Options struct {
	Size    sizes.Size
	Routing settings.Routing
	// MovesWeight is the weight of moves in the placement policy; with 0 only
	// attainment counts.
	MovesWeight float64
	// Log is the logger of the hosts; nil discards their log.
	Log *zap.Logger
	// LimitedLoadRate gives the weight store its default load rate, which is that of
	// the platform, instead of a fast one.
	LimitedLoadRate bool
}

// Fleet is a running fleet. Indices of Hosts are the numbers that Kill takes.
type Fleet struct {
	KeyValue *etcd.Server
	HostList *hostlist.List
	Weights  *weights.Store
	Engines  []*engine.Engine
	Services []*plain.Service
	Hosts    []*host.Host

	options         Options
	platform        settings.Platform
	weightStore     string
	serverAddresses []string
	isKilled        []bool
}

// Start starts a fleet and waits until every model and adapter answers through every
// host.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	f := &Fleet{
		options: options,
	}
	if err := f.start(ctx); err != nil {
		_ = f.Stop() // the first error is returned
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.startPlatform(); err != nil {
		return err
	}
	if err := f.startServers(); err != nil {
		return err
	}
	for number := range f.options.Size.Hosts {
		if err := f.startHost(number); err != nil {
			return err
		}
	}
	if err := f.putDocument(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) startPlatform() error {
	f.KeyValue = etcd.New(etcd.Options{})
	keyValue, err := f.KeyValue.Start(loopbackAnyPort)
	if err != nil {
		return err
	}
	f.HostList = hostlist.New(hostlist.Options{})
	list, err := f.HostList.Start(loopbackAnyPort)
	if err != nil {
		return err
	}
	var storeOptions weights.Options
	if !f.options.LimitedLoadRate {
		storeOptions.LoadsPerSecond = loadsPerSecond
	}
	f.Weights = weights.New(storeOptions)
	store, err := f.Weights.Start(loopbackAnyPort)
	if err != nil {
		return err
	}
	f.weightStore = store
	f.platform = settings.Platform{
		KeyValue: []string{keyValue.String()},
		HostList: "http://" + list,
	}
	return nil
}

func (f *Fleet) startServers() error {
	size := &f.options.Size
	for number := range size.Engines {
		name := ident.ServerName(fmt.Sprintf("gpu-%02d", number+1))
		server := engine.New(engine.Options{
			Name:           name,
			Memory:         size.Memory,
			FirstTokenTime: size.Timing.FirstToken,
			TimePerToken:   size.Timing.PerToken,
			WeightStore:    f.weightStore,
		})
		f.Engines = append(f.Engines, server)
		address, err := server.Start(loopbackAnyPort)
		if err != nil {
			return err
		}
		f.addToHostList(backend.Server{
			Name:    name,
			Kind:    backend.KindEngine,
			Address: address,
		}, number)
	}
	for number := range size.Service.Replicas {
		server := plain.New(plain.Options{})
		f.Services = append(f.Services, server)
		address, err := server.Start(loopbackAnyPort)
		if err != nil {
			return err
		}
		f.addToHostList(backend.Server{
			Name:    ident.ServerName(fmt.Sprintf("desk-%02d", number+1)),
			Kind:    backend.KindService,
			Address: address,
			Service: size.Service.Name,
		}, number)
	}
	return nil
}

// addToHostList adds a server or host to the host list. Consecutive numbers get
// different data centres.
func (f *Fleet) addToHostList(server backend.Server, number int) {
	server.State = backend.StateLive
	server.Region = f.options.Size.Region
	server.DataCentre = f.dataCentre(number)
	f.HostList.Put(server)
	if server.Kind != backend.KindEntry {
		f.serverAddresses = append(f.serverAddresses, server.Address)
	}
}

func (f *Fleet) dataCentre(number int) ident.DataCentre {
	dataCentres := f.options.Size.DataCentres
	return dataCentres[number%len(dataCentres)]
}

func (f *Fleet) startHost(number int) error {
	name := fmt.Sprintf("entry-%02d", number+1)
	running, err := host.Start(f.settings(ident.HostID(name), number), f.options.Log)
	if err != nil {
		return errors.Wrap(err, name)
	}
	f.Hosts = append(f.Hosts, running)
	f.isKilled = append(f.isKilled, false)
	f.addToHostList(backend.Server{
		Name:    ident.ServerName(name),
		Kind:    backend.KindEntry,
		Address: running.PeersAddress,
	}, number)
	return nil
}

// settings returns the settings of one entry host. Intervals are the defaults, but
// for those that the set-up waits for, which are shorter.
func (f *Fleet) settings(name ident.HostID, number int) settings.Settings {
	size := &f.options.Size
	loaded := settings.Default()
	loaded.Callers.LameDuck = 0 // there is no load balancer to wait for
	loaded.Host = settings.Host{
		Name:        name,
		DataCentre:  f.dataCentre(number),
		Region:      size.Region,
		DataCentres: make(map[ident.DataCentre]ident.Region),
	}
	for _, each := range size.DataCentres {
		loaded.Host.DataCentres[each] = size.Region
	}
	loaded.Listen = settings.Listen{
		Callers:   loopbackAnyPort,
		Operators: loopbackAnyPort,
		Peers:     loopbackAnyPort,
	}
	loaded.Platform = f.platform
	loaded.Policy.Routing = f.options.Routing
	loaded.Policy.MovesWeight = f.options.MovesWeight
	loaded.Control.ListInterval = 200 * time.Millisecond
	loaded.Control.PlanInterval = 200 * time.Millisecond
	loaded.Operators = settings.Operators{
		Teams: []settings.TeamToken{
			{
				Team:  size.Name,
				Token: teamToken,
			},
		},
		AdminToken: adminToken,
	}
	return loaded
}

// Targets returns the caller-facing addresses of all hosts, including killed ones.
func (f *Fleet) Targets() []string {
	targets := make([]string, 0, len(f.Hosts))
	for _, running := range f.Hosts {
		targets = append(targets, running.CallersAddress)
	}
	return targets
}

// Kill stops a host without waiting for its requests in flight, which are cut. It
// approximates a killed process as far as is possible within one process: the host
// still reports the results of its claims and releases its leadership, which a
// killed process could not.
func (f *Fleet) Kill(number int) {
	if f.isKilled[number] {
		return
	}
	f.isKilled[number] = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.Hosts[number].Stop(ctx) // the error reports the cut requests, which are intended
}

// Stop stops all parts and returns the first error. It clears faults first: a part
// that hangs because of a fault would delay the others.
func (f *Fleet) Stop() error {
	f.clearFaults()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var first error
	keepFirst := func(err error) {
		if first == nil {
			first = err
		}
	}
	for number, part := range f.Hosts {
		if !f.isKilled[number] {
			keepFirst(errors.Wrapf(part.Stop(ctx), "entry-%02d", number+1))
		}
	}
	for _, part := range f.Engines {
		keepFirst(part.Stop())
	}
	for _, part := range f.Services {
		keepFirst(part.Stop())
	}
	if f.Weights != nil {
		keepFirst(f.Weights.Stop())
	}
	if f.HostList != nil {
		keepFirst(f.HostList.Stop())
	}
	if f.KeyValue != nil {
		keepFirst(f.KeyValue.Stop())
	}
	return first
}

func (f *Fleet) clearFaults() {
	for _, server := range f.Engines {
		server.Faults.Set(engine.Faults{})
	}
	if f.KeyValue != nil {
		f.KeyValue.SetFaults(etcd.Faults{})
	}
}
