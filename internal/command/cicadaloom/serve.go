package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/traffic/host"
)

const serveHelp = `Runs an entry host: it answers callers, operators and its peers until it gets
SIGTERM or SIGINT. Then it takes no new requests, lets those in flight finish,
hands over what it leads, and ends. A second signal ends it at once.

  cicadaloom serve -settings /etc/cicadaloom/settings.json

Once it is ready, it prints one line with the addresses that it listens at:

  ready callers=127.0.0.1:8080 operators=127.0.0.1:8081 peers=127.0.0.1:8082

Logs go to standard error, a JSON object a line.
`

func init() {
	commands.Register(program.Command{
		Name:    "serve",
		Summary: "run an entry host",
		Help:    serveHelp,
		Prepare: prepareServe,
	})
}

func prepareServe(flags *flag.FlagSet) program.Runner {
	file := flags.String("settings", "", "the settings `file` of this host")
	return func(_ context.Context, to program.Streams, _ []string) error {
		if *file == "" {
			return program.InputErrorf("-settings: found none, allowed a settings file")
		}
		loaded, err := settings.Load(*file)
		if err != nil {
			return program.InputErrorf("%v", err)
		}
		return serve(to, loaded)
	}
}

func serve(to program.Streams, loaded settings.Settings) error {
	log, err := newLog(&loaded.Host, loaded.Log.Level, zapcore.Lock(os.Stderr))
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	running, err := host.Start(loaded, log)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.Out, "ready callers=%s operators=%s peers=%s\n", running.CallersAddress, running.OperatorsAddress, running.PeersAddress)
	first := <-signals
	log.Info("stopping", zap.String("Signal", first.String()))
	ctx, cancel := context.WithTimeout(context.Background(), loaded.Callers.DrainTimeout)
	defer cancel()
	var second tomb.Tomb
	second.Go(func() error {
		select {
		case <-signals:
			cancel()
		case <-second.Dying():
		}
		return nil
	})
	defer second.Kill(nil)
	return errors.Wrap(running.Stop(ctx), "stop")
}
