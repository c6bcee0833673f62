// Package fleet runs a whole fleet in one process on loopback: the platform's
// stand-ins, engines, plain services and entry hosts, with the team's document
// in force and every model ready.
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
// # What it leaves out
//
// There is no delay between the parts other than that of loopback, and no
// narrow link: everything stands in one region. All parts share the process,
// its heap and its cores, so a load that takes more than about half of the
// machine measures the machine.
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
	anyPort = "127.0.0.1:0"
	// loadsPerSecond makes the weight store fast: set-up is not what a load
	// measures.
	loadsPerSecond = 400
	readyTimeout   = 60 * time.Second
	// stopTimeout is how long a host may take to stop in order.
	stopTimeout = 5 * time.Second
	adminToken  = "admin-token-of-the-load-tool"
	teamToken   = "team-token-of-the-load-tool"
)

// Options say what fleet to run.
type Options struct {
	Size    sizes.Size
	Routing settings.Routing
	// MovesWeight is the policy's weight of moves; 0 looks at attainment only.
	MovesWeight float64
	// Log gets what the hosts log; nil drops it.
	Log *zap.Logger
	// SlowWeights gives the weight store the pace of the brief.
	SlowWeights bool
}

// Fleet is a running fleet.
type Fleet struct {
	KeyValue *etcd.Server
	HostList *hostlist.List
	Weights  *weights.Store
	Engines  []*engine.Engine
	Services []*plain.Service
	Hosts    []*host.Host

	options  Options
	platform settings.Platform
	weights  string
	servers  []string
	killed   []bool
}

// Start starts a fleet and waits until every model and adapter answers at every
// host.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	f := &Fleet{
		options: options,
	}
	if err := f.start(ctx); err != nil {
		_ = f.Stop() // the first failure is the one to tell
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
	keyValue, err := f.KeyValue.Start(anyPort)
	if err != nil {
		return err
	}
	f.HostList = hostlist.New(hostlist.Options{})
	list, err := f.HostList.Start(anyPort)
	if err != nil {
		return err
	}
	var pace weights.Options
	if !f.options.SlowWeights {
		pace.LoadsPerSecond = loadsPerSecond
	}
	f.Weights = weights.New(pace)
	store, err := f.Weights.Start(anyPort)
	if err != nil {
		return err
	}
	f.weights = store
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
		one := engine.New(engine.Options{
			Name:           name,
			Memory:         size.Memory,
			FirstTokenTime: size.Pace.FirstToken,
			TimePerToken:   size.Pace.PerToken,
			WeightStore:    f.weights,
		})
		f.Engines = append(f.Engines, one)
		address, err := one.Start(anyPort)
		if err != nil {
			return err
		}
		f.list(backend.Server{
			Name:    name,
			Kind:    backend.KindEngine,
			Address: address,
		}, number)
	}
	for number := range size.Service.Replicas {
		one := plain.New(plain.Options{})
		f.Services = append(f.Services, one)
		address, err := one.Start(anyPort)
		if err != nil {
			return err
		}
		f.list(backend.Server{
			Name:    ident.ServerName(fmt.Sprintf("desk-%02d", number+1)),
			Kind:    backend.KindService,
			Address: address,
			Service: size.Service.Name,
		}, number)
	}
	return nil
}

// list puts a server into the host list, in the data centres in turn.
func (f *Fleet) list(server backend.Server, number int) {
	server.State = backend.StateLive
	server.Region = f.options.Size.Region
	server.DataCentre = f.dataCentre(number)
	f.HostList.Put(server)
	if server.Kind != backend.KindEntry {
		f.servers = append(f.servers, server.Address)
	}
}

func (f *Fleet) dataCentre(number int) ident.DataCentre {
	all := f.options.Size.DataCentres
	return all[number%len(all)]
}

func (f *Fleet) startHost(number int) error {
	name := fmt.Sprintf("entry-%02d", number+1)
	running, err := host.Start(f.settings(ident.HostID(name), number), f.options.Log)
	if err != nil {
		return errors.Wrap(err, name)
	}
	f.Hosts = append(f.Hosts, running)
	f.killed = append(f.killed, false)
	f.list(backend.Server{
		Name:    ident.ServerName(name),
		Kind:    backend.KindEntry,
		Address: running.PeersAddress,
	}, number)
	return nil
}

// settings are those of one entry host. The paces are a production host's; only
// what the set-up waits for is quicker.
func (f *Fleet) settings(name ident.HostID, number int) settings.Settings {
	size := &f.options.Size
	loaded := settings.Default()
	loaded.Callers.LameDuck = 0 // there is no balancer
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
		Callers:   anyPort,
		Operators: anyPort,
		Peers:     anyPort,
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

// Targets are the callers' addresses of all hosts, killed ones too.
func (f *Fleet) Targets() []string {
	targets := make([]string, 0, len(f.Hosts))
	for _, one := range f.Hosts {
		targets = append(targets, one.CallersAddress)
	}
	return targets
}

// Kill ends a host without a graceful stop: its requests in flight are cut. It
// is the nearest to a killed process that one process allows. The host still
// settles what it has to tell of its claims and hands its leadership back,
// which a killed one could not.
func (f *Fleet) Kill(number int) {
	if f.killed[number] {
		return
	}
	f.killed[number] = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.Hosts[number].Stop(ctx) // it says that requests were cut, as is meant
}

// Stop ends everything, faults first: a part that hangs by a fault would hold
// the others up.
func (f *Fleet) Stop() error {
	f.heal()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var first error
	keep := func(err error) {
		if first == nil {
			first = err
		}
	}
	for number, one := range f.Hosts {
		if !f.killed[number] {
			keep(errors.Wrapf(one.Stop(ctx), "entry-%02d", number+1))
		}
	}
	for _, one := range f.Engines {
		keep(one.Stop())
	}
	for _, one := range f.Services {
		keep(one.Stop())
	}
	if f.Weights != nil {
		keep(f.Weights.Stop())
	}
	if f.HostList != nil {
		keep(f.HostList.Stop())
	}
	if f.KeyValue != nil {
		keep(f.KeyValue.Stop())
	}
	return first
}

func (f *Fleet) heal() {
	for _, one := range f.Engines {
		one.Faults.Set(engine.Faults{})
	}
	if f.KeyValue != nil {
		f.KeyValue.SetFaults(etcd.Faults{})
	}
}
