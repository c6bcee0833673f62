package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/examples"
	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/engine"
	"cicadaloom/internal/standin/plain"
	"cicadaloom/internal/standin/platform"
	"cicadaloom/internal/traffic/host"
)

const demoHelp = `Runs the whole path in one process, on this machine's loopback: stand-ins of the
platform, three model engines and a plain service, and two entry hosts with the
first models of the example document of Kerlouan. It serves real requests, shows
answers and a refusal, an edit coming into force on both hosts, and the report on
service-level burn. It ends by itself within 20 seconds.
`

func init() {
	commands.Register(program.Command{
		Name:    "demo",
		Summary: "show the whole path at work in one process",
		Help:    demoHelp,
		Prepare: func(*flag.FlagSet) program.Runner { return demo },
	})
}

// Sizes of the demo.
const (
	demoModels   = 3
	demoEngines  = 3
	demoHosts    = 2
	demoDeadline = 18 * time.Second
	demoToken    = "demo-token-0123456789"
	demoTeam     = "kerlouan"
)

var demoLocation = platform.Location{
	DataCentre: "brest-a",
	Region:     "finistere",
}

// demoRun is the state of a running demo.
type demoRun struct {
	to       program.Streams
	ctx      context.Context
	platform *platform.Platform
	hosts    []*host.Host
	document *document.Document
}

func demo(ctx context.Context, to program.Streams, _ []string) error {
	ctx, cancel := context.WithTimeout(ctx, demoDeadline)
	defer cancel()
	s := &demoRun{
		to:  to,
		ctx: ctx,
	}
	defer s.stop()
	for _, step := range s.steps() {
		fmt.Fprintf(to.Out, "\n== %s\n", step.title)
		if err := step.run(); err != nil {
			return errors.Wrap(err, step.title)
		}
	}
	fmt.Fprintln(to.Out, "\nThat was the whole path. README.md says where to go on.")
	return nil
}

func (s *demoRun) startPlatform() error {
	running, err := platform.Start(platform.Options{
		Location: demoLocation,
	})
	if err != nil {
		return err
	}
	s.platform = running
	for i := range demoEngines {
		name := ident.ServerName(fmt.Sprintf("gpu-%d", i+1))
		address, err := running.AddEngine(name, engine.Options{
			Memory: 80 * unit.Gibibyte,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(s.to.Out, "model engine %s at %s, 80 GiB\n", name, address)
	}
	address, err := running.AddPlainService("desk-1", "boat-dispatch", plain.Options{})
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "plain service boat-dispatch at %s\n", address)
	return nil
}

func (s *demoRun) startHosts() error {
	for i := range demoHosts {
		name := ident.HostID(fmt.Sprintf("entry-%d", i+1))
		started, err := host.Start(s.settings(name), zap.NewNop())
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, started)
		if err := s.platform.AddEntryHost(name, started.PeersAddress); err != nil {
			return err
		}
		fmt.Fprintf(s.to.Out, "entry host %s: callers at %s, operators at %s\n", name, started.CallersAddress, started.OperatorsAddress)
	}
	return nil
}

// settings returns the settings of a demo host: short intervals, so that the demo
// ends quickly, and addresses with any free port.
func (s *demoRun) settings(name ident.HostID) settings.Settings {
	result := s.platform.HostSettings(name)
	result.Operators = settings.Operators{
		Teams: []settings.TeamToken{
			{
				Team:  demoTeam,
				Token: demoToken,
			},
		},
	}
	result.Control.ReportInterval = 100 * time.Millisecond
	result.Control.ListInterval = 200 * time.Millisecond
	result.Control.ExchangeInterval = 200 * time.Millisecond
	result.Control.PlanInterval = 200 * time.Millisecond
	return result
}

// declare puts the demo's document: the first models of Kerlouan's example with one
// replica each, since the weight store loads only 1.5 models a second.
func (s *demoRun) declare() error {
	doc, err := teamdoc.Read(examples.Kerlouan)
	if err != nil {
		return err
	}
	doc.Models = doc.Models[:demoModels]
	for i := range doc.Models {
		doc.Models[i].Replicas = 1
		doc.Models[i].MaxReplicas = 1
	}
	s.document = doc
	return s.put()
}

func (s *demoRun) stop() {
	for _, running := range s.hosts {
		_ = running.Stop(context.Background())
	}
	if s.platform != nil {
		s.platform.Stop()
	}
}
