// Package platform runs the stand-ins of a whole platform in one process:
// key-value service, host list, weight store, model engines and plain services.
//
// # Usage
//
//	p, err := platform.Start(platform.Options{
//		Location: platform.Location{
//			DataCentre: "brest-a",
//			Region:     "finistere",
//		},
//		LoadsPerSecond: 50,
//	})
//	defer p.Stop()
//	address, err := p.AddEngine("gpu-1", engine.Options{})
//
// The methods of a Platform must not be called concurrently.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/etcd"
	"cicadaloom/internal/standin/hostlist"
	"cicadaloom/internal/standin/plain"
	"cicadaloom/internal/standin/weights"
)

// anyPortAddress listens on a free port that the system chooses.
const anyPortAddress = "127.0.0.1:0"

// Location is where a host runs.
type Location struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Options configures a Platform.
type Options struct {
	// Location is that of all hosts that are added.
	Location Location
	// LoadsPerSecond is the weight store's load rate; zero takes its default.
	LoadsPerSecond float64
}

// Platform is a running platform, with its stand-ins and their addresses.
type Platform struct {
	KeyValueAddress    string
	HostListAddress    string
	WeightStoreAddress string

	KeyValueServer    *etcd.Server
	HostListServer    *hostlist.List
	WeightStoreServer *weights.Store
	Engines           map[ident.ServerName]*engine.Engine
	PlainServices     map[ident.ServerName]*plain.Service

	options Options
	running []stopper
}

// stopper is a running stand-in.
type stopper interface {
	Stop() error
}

// Start starts the platform without backend servers.
func Start(options Options) (*Platform, error) {
	p := &Platform{
		KeyValueServer: etcd.New(etcd.Options{}),
		HostListServer: hostlist.New(hostlist.Options{}),
		WeightStoreServer: weights.New(weights.Options{
			LoadsPerSecond: options.LoadsPerSecond,
		}),
		Engines:       make(map[ident.ServerName]*engine.Engine),
		PlainServices: make(map[ident.ServerName]*plain.Service),
		options:       options,
	}
	if err := p.start(); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start() error {
	keyValue, err := p.KeyValueServer.Start(anyPortAddress)
	if err != nil {
		return errors.Wrap(err, "key-value service")
	}
	p.KeyValueAddress = keyValue.String()
	p.running = append(p.running, p.KeyValueServer)
	if p.HostListAddress, err = p.HostListServer.Start(anyPortAddress); err != nil {
		return errors.Wrap(err, "host list")
	}
	p.running = append(p.running, p.HostListServer)
	if p.WeightStoreAddress, err = p.WeightStoreServer.Start(anyPortAddress); err != nil {
		return errors.Wrap(err, "weight store")
	}
	p.running = append(p.running, p.WeightStoreServer)
	return nil
}

// AddEngine starts a model engine, registers it in the host list and returns its
// address.
func (p *Platform) AddEngine(name ident.ServerName, options engine.Options) (string, error) {
	options.Name = name
	options.WeightStore = p.WeightStoreAddress
	added := engine.New(options)
	address, err := added.Start(anyPortAddress)
	if err != nil {
		return "", errors.Wrapf(err, "engine %s", name)
	}
	p.running = append(p.running, added)
	p.Engines[name] = added
	return address, p.register(backend.Server{
		Name:    name,
		Kind:    backend.KindEngine,
		Address: address,
	})
}

// AddPlainService starts a plain service, registers it in the host list and returns
// its address.
func (p *Platform) AddPlainService(name ident.ServerName, service ident.ServiceName, options plain.Options) (string, error) {
	added := plain.New(options)
	address, err := added.Start(anyPortAddress)
	if err != nil {
		return "", errors.Wrapf(err, "service %s", name)
	}
	p.running = append(p.running, added)
	p.PlainServices[name] = added
	return address, p.register(backend.Server{
		Name:    name,
		Kind:    backend.KindService,
		Address: address,
		Service: service,
	})
}

// AddEntryHost registers an entry host in the host list, as the platform does.
func (p *Platform) AddEntryHost(name ident.HostID, peerAddress string) error {
	return p.register(backend.Server{
		Name:    ident.ServerName(name),
		Kind:    backend.KindEntry,
		Address: peerAddress,
	})
}

// HostSettings returns the settings of an entry host that uses this platform: the
// defaults, with the platform's location and with free ports.
func (p *Platform) HostSettings(name ident.HostID) settings.Settings {
	result := settings.Default()
	result.Host = settings.Host{
		Name:       name,
		DataCentre: p.options.Location.DataCentre,
		Region:     p.options.Location.Region,
		DataCentres: map[ident.DataCentre]ident.Region{
			p.options.Location.DataCentre: p.options.Location.Region,
		},
	}
	result.Listen = settings.Listen{
		Callers:   anyPortAddress,
		Operators: anyPortAddress,
		Peers:     anyPortAddress,
	}
	// No load balancer stands in front of the host.
	result.Callers.LameDuck = 0
	result.Platform = settings.Platform{
		KeyValue: []string{p.KeyValueAddress},
		HostList: "http://" + p.HostListAddress,
	}
	return result
}

func (p *Platform) register(host backend.Server) error {
	host.State = backend.StateLive
	host.DataCentre = p.options.Location.DataCentre
	host.Region = p.options.Location.Region
	return errors.Wrap(hostlist.Register(context.Background(), p.HostListAddress, host), "host list")
}

// Stop stops everything, in reverse order of start, and returns when all stand-ins
// have ended. Errors are ignored: stand-ins have no data to lose.
func (p *Platform) Stop() {
	for i := len(p.running) - 1; i >= 0; i-- {
		_ = p.running[i].Stop()
	}
	p.running = nil
}
