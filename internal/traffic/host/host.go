// Package host assembles an entry host from its parts, starts it and stops it.
//
// Start opens the connection to the key-value service, the control loop, and
// the servers for peers, callers and operators, which run on goroutines of
// their own. Host is the running host. The command and the tests call this
// package. Drain, Resume and Stopping are safe for concurrent use; Stop is
// called once.
//
// # Usage
//
//	running, err := host.Start(settings, log)
//	...
//	err = running.Stop(ctx)
//
// # Planned stop
//
// Stop cuts no request. The host first reports at its health page that it is
// stopping and continues to serve until the balancer has had time to notice.
// Then it refuses new requests as not run, and the next exchange informs its
// peers. Requests in flight run to their ends, for as long as the context
// allows. Finally the host writes the pending outcomes of their claims, gives
// up its leadership and ends.
//
// Drain does only the first half, for an operator who wants the host to be idle
// before its process ends; Resume reverts it.
package host

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/heldbytes"
	"cicadaloom/internal/control/loop"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/peer/caller"
	"cicadaloom/internal/peer/engine"
	"cicadaloom/internal/peer/entryhost"
	"cicadaloom/internal/peer/etcd"
	"cicadaloom/internal/peer/operator"
	"cicadaloom/internal/peer/plain"
	"cicadaloom/internal/traffic/dispatch"
)

// Host is a running entry host, with the addresses at which it listens.
type Host struct {
	CallersAddress   string
	OperatorsAddress string
	PeersAddress     string

	metrics       *metrics.Set
	decisions     *decisions.Log
	keyValue      *etcd.Client
	control       *loop.Loop
	callers       *caller.Server
	operators     *operator.Server
	peers         *entryhost.Server
	engines       *engine.Client
	plainServices *plain.Client
	// heldBytes bounds the bodies that are being read from backend servers.
	heldBytes *heldbytes.Budget
	drain     drain
	lameDuck  time.Duration
	// settleTimeout limits how long a stop waits for the last writes to claims.
	settleTimeout time.Duration
}

// defaultSettleTimeout is the value of Host.settleTimeout. What can't be
// written by then, because the key-value service is down, is lost, and the keys
// say "may have run" for as long as they are kept. That is correct, and no
// reason to delay a stop for the whole outage.
const defaultSettleTimeout = 15 * time.Second

func (h *Host) settleClaims(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, h.settleTimeout)
	defer cancel()
	return h.control.WaitForClaims(ctx)
}

// Start starts an entry host. It does not wait for the key-value service: a
// host that starts during an outage gets the state that it needs from its
// peers.
func Start(loaded settings.Settings, log *zap.Logger) (*Host, error) {
	h := &Host{
		metrics:       metrics.NewSet(),
		decisions:     decisions.NewLog(loaded.Host.Name),
		settleTimeout: defaultSettleTimeout,
		lameDuck:      loaded.Callers.LameDuck,
		engines:       &engine.Client{},
		plainServices: &plain.Client{},
		heldBytes:     newHeldBytes(),
	}
	h.engines.UseHeldBytes(h.heldBytes)
	h.plainServices.UseHeldBytes(h.heldBytes)
	if err := h.start(loaded, log); err != nil {
		_ = h.Stop(context.Background())
		return nil, err
	}
	return h, nil
}

func (h *Host) start(loaded settings.Settings, log *zap.Logger) error {
	keyValue, err := etcd.DialWith(etcd.Options{
		CallTimeout:  loaded.Control.CallTimeout,
		WatchTimeout: loaded.Control.WatchSilence,
	}, loaded.Platform.KeyValue...)
	if err != nil {
		return err
	}
	h.keyValue = keyValue
	h.control = loop.New(loop.Options{
		Settings:  loaded,
		KeyValue:  keyValue,
		Fleet:     keyValue.FleetID,
		Log:       log,
		Metrics:   h.metrics,
		Decisions: h.decisions,
		HeldBytes: h.heldBytes,
	})
	peers := &entryhost.Server{
		Handler: h.control,
		Fleet:   keyValue.FleetID,
	}
	h.PeersAddress, err = peers.Start(loaded.Listen.Peers)
	if err != nil {
		return err
	}
	h.peers = peers
	h.control.Start(h.PeersAddress)
	return h.listen(loaded, log)
}

// listen starts the servers for callers and operators.
func (h *Host) listen(loaded settings.Settings, log *zap.Logger) error {
	certificates, err := newTLSConfig(loaded.TLS)
	if err != nil {
		return err
	}
	dispatcher, err := h.newDispatcher(loaded, log)
	if err != nil {
		return err
	}
	callers := &caller.Server{
		Dispatcher:   dispatcher,
		ControlPlane: h.control,
		Settings:     loaded.Callers,
		Decisions:    h.decisions,
		Log:          log,
		TLS:          certificates,
	}
	h.CallersAddress, err = callers.Start(loaded.Listen.Callers)
	if err != nil {
		return err
	}
	h.callers = callers
	operators := &operator.Server{
		Control:  h.control,
		Host:     h,
		Settings: loaded.Operators,
		Metrics:  h.metrics,
		Log:      log,
		TLS:      certificates,
	}
	h.OperatorsAddress, err = operators.Start(loaded.Listen.Operators)
	if err != nil {
		return err
	}
	h.operators = operators
	return nil
}

func (h *Host) newDispatcher(loaded settings.Settings, log *zap.Logger) (*dispatch.Dispatcher, error) {
	policy, err := routing.NewPolicy(string(loaded.Policy.Routing))
	if err != nil {
		return nil, err
	}
	return &dispatch.Dispatcher{
		ControlPlane:  h.control,
		Claims:        h.control,
		Reporter:      h.control,
		Limits:        h.control,
		Engines:       h.engines,
		PlainServices: h.plainServices,
		Policy:        policy,
		RetryBudget:   dispatch.NewRetryBudget(loaded.Policy.RetryBudgetPercent),
		LinkLimiter: &dispatch.LinkLimiter{
			Budget: loaded.Policy.LinkBudget,
		},
		Log:       log,
		Decisions: h.decisions,
		Metrics: dispatch.Metrics{
			Set: h.metrics,
		},
		Now:    time.Now,
		Random: rand.Uint64,
	}, nil
}

// newTLSConfig returns the TLS configuration for callers and operators, or nil
// if there is none.
func newTLSConfig(files settings.TLS) (*tls.Config, error) {
	if files.CertificateFile == "" {
		return nil, nil
	}
	certificates, err := newCertificates(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: certificates.getCertificate,
	}, nil
}

// Stop stops the host. It returns the first error of an incomplete step; the
// host has stopped all the same.
func (h *Host) Stop(ctx context.Context) error {
	var firstErr error
	record := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	h.announceStop(ctx)
	h.drainForStop()
	if h.callers != nil {
		record(errors.Wrap(h.callers.Stop(ctx), "callers"))
	}
	if h.control != nil {
		record(errors.Wrap(h.settleClaims(ctx), "claims"))
	}
	if h.operators != nil {
		record(errors.Wrap(h.operators.Stop(ctx), "operators"))
	}
	if h.peers != nil {
		record(errors.Wrap(h.peers.Stop(), "peers"))
	}
	if h.control != nil {
		record(errors.Wrap(h.control.Stop(), "control"))
	}
	h.engines.Close()
	h.plainServices.Close()
	if h.keyValue != nil {
		record(h.keyValue.Close())
	}
	return firstErr
}
