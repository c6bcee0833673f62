package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/hostlist"
	"cicadaloom/internal/standin/server"
)

const (
	defaultListen = "127.0.0.1:0"
	// registerTimeout bounds the retries against a host list that is not up yet,
	// registerPause is the time between two attempts.
	registerTimeout = 10 * time.Second
	registerPause   = 50 * time.Millisecond
)

// standIn is a stand-in as a server: Start returns the address that it listens on.
type standIn interface {
	Start(listen string) (string, error)
	Stop() error
}

// drainableStandIn is a stand-in with a graceful stop: after Leave it refuses new work.
type drainableStandIn interface {
	standIn
	Leave()
}

// faultSwitches is the set of fault switches of a stand-in.
type faultSwitches interface {
	SetJSON(from io.Reader) error
}

// commonFlags are the flags of all stand-ins.
type commonFlags struct {
	listen string
	faults string
}

func (c *commonFlags) declare(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", defaultListen, "`address` to listen on")
	flags.StringVar(&c.faults, "faults", "{}", "fault switches to begin with, as `JSON`")
}

func (c *commonFlags) start(p standIn, faults faultSwitches) (string, error) {
	if err := faults.SetJSON(strings.NewReader(c.faults)); err != nil {
		return "", errors.Wrap(err, "-faults")
	}
	return p.Start(c.listen)
}

// serve runs a stand-in until the context ends.
func (c *commonFlags) serve(ctx context.Context, stdout io.Writer, p standIn, faults faultSwitches) error {
	address, err := c.start(p, faults)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "listening %s\n", address)
	<-ctx.Done()
	return p.Stop()
}

// listedFlags are the flags of stand-ins that register themselves in the host list.
type listedFlags struct {
	commonFlags
	listURL    string
	name       string
	dataCentre string
	region     string
	linger     time.Duration
}

func (l *listedFlags) declare(flags *flag.FlagSet, name string) {
	l.commonFlags.declare(flags)
	flags.StringVar(&l.listURL, "register", "", "`URL` of the host list to stand in")
	flags.StringVar(&l.name, "name", name, "`name` in the host list and in reports")
	flags.StringVar(&l.dataCentre, "data-centre", "", "data centre in the host list")
	flags.StringVar(&l.region, "region", "", "region in the host list")
	flags.DurationVar(&l.linger, "linger", 0, "how long to go on refusing new work after SIGTERM")
}

// serveListed runs a stand-in until the context ends. Its entry in the host list is
// live while it serves and leaving while it stops.
func (l *listedFlags) serveListed(ctx context.Context, stdout io.Writer, p drainableStandIn, faults faultSwitches, host backend.Server) error {
	address, err := l.start(p, faults)
	if err != nil {
		return err
	}
	host.Name = ident.ServerName(l.name)
	host.State = backend.StateLive
	host.Address = address
	host.DataCentre = ident.DataCentre(l.dataCentre)
	host.Region = ident.Region(l.region)
	if err := l.addToList(ctx, host); err != nil {
		_ = p.Stop() // the first error is the one to return
		return err
	}
	fmt.Fprintf(stdout, "listening %s\n", address)
	<-ctx.Done()
	return l.drain(context.WithoutCancel(ctx), p, host)
}

// addToList adds the host to the host list, and retries until the list answers. Without
// -register it does nothing.
func (l *listedFlags) addToList(ctx context.Context, host backend.Server) error {
	if l.listURL == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for {
		err := hostlist.Register(ctx, l.listAddress(), host)
		if err == nil {
			return nil
		}
		if !server.Pause(ctx, registerPause) {
			return errors.Wrap(err, "register")
		}
	}
}

// drain refuses new work, marks the host as leaving, waits for -linger, stops, and
// removes the host from the list. Errors of the host list are ignored, since it may
// have stopped already.
func (l *listedFlags) drain(ctx context.Context, p drainableStandIn, host backend.Server) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout+l.linger)
	defer cancel()
	p.Leave()
	host.State = backend.StateLeaving
	if l.listURL != "" {
		_ = hostlist.Register(ctx, l.listAddress(), host)
	}
	server.Pause(ctx, l.linger)
	err := p.Stop()
	if l.listURL != "" {
		_ = hostlist.Deregister(ctx, l.listAddress(), host.Name)
	}
	return err
}

func (l *listedFlags) listAddress() string {
	return strings.TrimSuffix(strings.TrimPrefix(l.listURL, "http://"), "/")
}
