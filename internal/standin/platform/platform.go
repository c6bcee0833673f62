// Package platform runs the whole of the platform's stand-ins in one process:
// key-value service, host list, weight store, model engines and plain services.
//
// # Usage
//
//	p, err := platform.Start(platform.Options{
//		Place: platform.Place{
//			DataCentre: "brest-a",
//			Region:     "finistere",
//		},
//		LoadsPerSecond: 50,
//	})
//	defer p.Stop()
//	address, err := p.AddEngine("gpu-1", engine.Options{})
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

// anyPortAddress lets the system choose the port of a stand-in.
const anyPortAddress = "127.0.0.1:0"

// Place is where a host stands.
type Place struct {
	DataCentre ident.DataCentre
	Region     ident.Region
}

// Options say how the platform behaves.
type Options struct {
	// Place is for all hosts that are added without one.
	Place Place
	// LoadsPerSecond is the weight store's pace; zero takes the users'.
	LoadsPerSecond float64
}

// Platform is a running platform with the addresses of its parts.
type Platform struct {
	KeyValue    string
	HostList    string
	WeightStore string

	Store   *etcd.Server
	List    *hostlist.List
	Weights *weights.Store
	Engines map[ident.ServerName]*engine.Engine
	Plains  map[ident.ServerName]*plain.Service

	options Options
	running []stopper
}

// stopper is a stand-in that runs.
type stopper interface {
	Stop() error
}

// Start starts the platform without any backend server.
func Start(options Options) (*Platform, error) {
	p := &Platform{
		Store: etcd.New(etcd.Options{}),
		List:  hostlist.New(hostlist.Options{}),
		Weights: weights.New(weights.Options{
			LoadsPerSecond: options.LoadsPerSecond,
		}),
		Engines: make(map[ident.ServerName]*engine.Engine),
		Plains:  make(map[ident.ServerName]*plain.Service),
		options: options,
	}
	if err := p.start(); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start() error {
	keyValue, err := p.Store.Start(anyPortAddress)
	if err != nil {
		return errors.Wrap(err, "key-value service")
	}
	p.KeyValue = keyValue.String()
	p.running = append(p.running, p.Store)
	if p.HostList, err = p.List.Start(anyPortAddress); err != nil {
		return errors.Wrap(err, "host list")
	}
	p.running = append(p.running, p.List)
	if p.WeightStore, err = p.Weights.Start(anyPortAddress); err != nil {
		return errors.Wrap(err, "weight store")
	}
	p.running = append(p.running, p.Weights)
	return nil
}

// AddEngine starts a model engine and puts it on the list.
func (p *Platform) AddEngine(name ident.ServerName, options engine.Options) (string, error) {
	options.Name = name
	options.Weights = p.WeightStore
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

// AddPlain starts a plain service and puts it on the list.
func (p *Platform) AddPlain(name ident.ServerName, service ident.ServiceName, options plain.Options) (string, error) {
	added := plain.New(options)
	address, err := added.Start(anyPortAddress)
	if err != nil {
		return "", errors.Wrapf(err, "service %s", name)
	}
	p.running = append(p.running, added)
	p.Plains[name] = added
	return address, p.register(backend.Server{
		Name:    name,
		Kind:    backend.KindService,
		Address: address,
		Service: service,
	})
}

// AddEntryHost puts an entry host on the list, as the platform would.
func (p *Platform) AddEntryHost(name ident.HostID, peerAddress string) error {
	return p.register(backend.Server{
		Name:    ident.ServerName(name),
		Kind:    backend.KindEntry,
		Address: peerAddress,
	})
}

// HostSettings gives the settings of an entry host in front of this platform: the
// defaults, at the platform's place, at whatever ports are free.
func (p *Platform) HostSettings(name ident.HostID) settings.Settings {
	result := settings.Default()
	result.Host = settings.Host{
		Name:       name,
		DataCentre: p.options.Place.DataCentre,
		Region:     p.options.Place.Region,
		DataCentres: map[ident.DataCentre]ident.Region{
			p.options.Place.DataCentre: p.options.Place.Region,
		},
	}
	result.Listen = settings.Listen{
		Callers:   anyPortAddress,
		Operators: anyPortAddress,
		Peers:     anyPortAddress,
	}
	// There is no balancer in front of it.
	result.Callers.LameDuck = 0
	result.Platform = settings.Platform{
		KeyValue: []string{p.KeyValue},
		HostList: "http://" + p.HostList,
	}
	return result
}

func (p *Platform) register(host backend.Server) error {
	host.State = backend.StateLive
	host.DataCentre = p.options.Place.DataCentre
	host.Region = p.options.Place.Region
	return errors.Wrap(hostlist.Register(context.Background(), p.HostList, host), "host list")
}

// Stop stops everything, the newest first. It is over when all have ended;
// stand-ins keep nothing that an error could lose.
func (p *Platform) Stop() {
	for i := len(p.running) - 1; i >= 0; i-- {
		_ = p.running[i].Stop()
	}
	p.running = nil
}
