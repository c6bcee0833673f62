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
	// registerTimeout is how long a stand-in waits for a host list that isn't
	// up yet, registerPause the time between two tries.
	registerTimeout = 10 * time.Second
	registerPause   = 50 * time.Millisecond
)

// process is a stand-in that can be served.
type process interface {
	Start(listen string) (string, error)
	Stop() error
}

// leaver is a stand-in that refuses new work before it stops.
type leaver interface {
	process
	Leave()
}

// faultSwitch is a stand-in's switch.
type faultSwitch interface {
	SetJSON(from io.Reader) error
}

// common are the flags of all stand-ins.
type common struct {
	listen string
	faults string
}

func (c *common) declare(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", defaultListen, "`address` to listen on")
	flags.StringVar(&c.faults, "faults", "{}", "fault switches to begin with, as `JSON`")
}

func (c *common) start(p process, faults faultSwitch) (string, error) {
	if err := faults.SetJSON(strings.NewReader(c.faults)); err != nil {
		return "", errors.Wrap(err, "-faults")
	}
	return p.Start(c.listen)
}

// serve runs a stand-in until the context ends.
func (c *common) serve(ctx context.Context, stdout io.Writer, p process, faults faultSwitch) error {
	address, err := c.start(p, faults)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "listening %s\n", address)
	<-ctx.Done()
	return p.Stop()
}

// listed are the flags of stand-ins that stand in the host list.
type listed struct {
	common
	register   string
	name       string
	dataCentre string
	region     string
	linger     time.Duration
}

func (l *listed) declare(flags *flag.FlagSet, name string) {
	l.common.declare(flags)
	flags.StringVar(&l.register, "register", "", "`URL` of the host list to stand in")
	flags.StringVar(&l.name, "name", name, "`name` in the host list and in reports")
	flags.StringVar(&l.dataCentre, "data-centre", "", "data centre in the host list")
	flags.StringVar(&l.region, "region", "", "region in the host list")
	flags.DurationVar(&l.linger, "linger", 0, "how long to go on refusing new work after SIGTERM")
}

// serveListed runs a stand-in until the context ends. It stands in the list as
// live while it serves and as leaving while it stops.
func (l *listed) serveListed(ctx context.Context, stdout io.Writer, p leaver, faults faultSwitch, host backend.Server) error {
	address, err := l.start(p, faults)
	if err != nil {
		return err
	}
	host.Name = ident.ServerName(l.name)
	host.State = backend.StateLive
	host.Address = address
	host.DataCentre = ident.DataCentre(l.dataCentre)
	host.Region = ident.Region(l.region)
	if err := l.enter(ctx, host); err != nil {
		_ = p.Stop() // the first failure is the one to tell
		return err
	}
	fmt.Fprintf(stdout, "listening %s\n", address)
	<-ctx.Done()
	return l.leave(context.WithoutCancel(ctx), p, host)
}

func (l *listed) enter(ctx context.Context, host backend.Server) error {
	if l.register == "" {
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

// leave stops in order. A host list that is gone does not keep it from that.
func (l *listed) leave(ctx context.Context, p leaver, host backend.Server) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout+l.linger)
	defer cancel()
	p.Leave()
	host.State = backend.StateLeaving
	if l.register != "" {
		_ = hostlist.Register(ctx, l.listAddress(), host)
	}
	server.Pause(ctx, l.linger)
	err := p.Stop()
	if l.register != "" {
		_ = hostlist.Deregister(ctx, l.listAddress(), host.Name)
	}
	return err
}

func (l *listed) listAddress() string {
	return strings.TrimSuffix(strings.TrimPrefix(l.register, "http://"), "/")
}
