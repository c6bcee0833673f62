package cicadaloom

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cicadaloom/internal/command/program"
	settings "cicadaloom/internal/config/gateway"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/host/gateway"
	"cicadaloom/internal/report/logsink"
	"cicadaloom/platform"
)

const gatewayHelp = `Runs an entry host on a platform whose key-value service has the configuration
and the list of backend servers. It passes clients' requests on to them until it
gets SIGTERM or SIGINT; then it serves on until clients have gone elsewhere, lets
what is under way finish, and ends. A second signal ends it at once. On SIGHUP it
reads its settings again and takes a new log level and new seeds from them.

  cicadaloom gateway -settings /etc/cicadaloom/gateway.json

Logs go to standard output, a JSON object a line.
`

func init() {
	commands.Register(program.Command{
		Name:    "gateway",
		Summary: "run an entry host on a platform with a list of servers",
		Help:    gatewayHelp,
		Prepare: prepareGateway,
	})
}

func prepareGateway(flags *flag.FlagSet) program.Runner {
	file := flags.String("settings", os.Getenv(settingsVariable), "the settings `file` of this host; the default is in "+settingsVariable)
	checkOnly := flags.Bool("check", false, "only check the settings")
	return func(ctx context.Context, _ program.Streams, _ []string) error {
		if *file == "" {
			return program.InputErrorf("-settings: found none, allowed a settings file")
		}
		loaded, err := settings.Load(*file)
		if err != nil {
			return program.InputErrorf("%v", err)
		}
		if *checkOnly {
			return nil
		}
		return runGateway(ctx, *file, loaded)
	}
}

// settingsVariable is the environment variable with the path of the settings file.
const settingsVariable = "CICADALOOM_SETTINGS"

const (
	// memoryLimitShare is the part of the host's memory that is set as the Go runtime's soft
	// memory limit; near it, garbage is collected more often.
	memoryLimitShare = 0.5
	// gcPercent is the garbage collector's target (GOGC): how much the heap grows
	// between collections, in percent.
	gcPercent = 50
)

func runGateway(ctx context.Context, file string, loaded settings.Settings) error {
	limitMemory(loaded.Memory)
	set := metrics.NewSet()
	sink := logsink.New(os.Stdout, set.NewCounter("cicadaloom_log_lines_dropped_total"))
	defer func() { _ = sink.Close() }()
	log, err := newLog(&loaded.Host, loaded.Log.Level, sink)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	keyValue := platform.NewStore(loaded.KeyValue, platform.StoreOptions{})
	defer keyValue.Close()
	engines := &platform.Engines{}
	defer engines.Close()
	running, err := gateway.Start(gateway.Options{
		Settings: loaded,
		KeyValue: keyValue,
		Engines:  engines,
		Layout:   platform.Layout(),
		Codec:    platform.Ingress{},
		Log:      log,
		Metrics:  set,
	})
	if err != nil {
		return err
	}
	log.Info("started", zap.String("Version", Version), zap.String("Callers", loaded.Listen.Callers), zap.String("KeyValue", loaded.KeyValue))
	stopBySignal(ctx, signals, log, running, file)
	log.Info("stopped")
	return nil
}

// stopBySignal handles signals until one to stop arrives, then stops the host. SIGHUP
// reloads the settings.
func stopBySignal(ctx context.Context, signals <-chan os.Signal, log *zap.Logger, running *gateway.Gateway, file string) {
	for received := range signals {
		if received == syscall.SIGHUP {
			reload(log, running, file)
			continue
		}
		log.Info("stopping", zap.String("Signal", received.String()))
		break
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := running.Stop(ctx); err != nil {
		log.Warn("stop was not complete", zap.Error(errors.Cause(err)))
	}
}

// reload reads the settings file again and applies its seeds. If the file is invalid,
// nothing changes.
func reload(log *zap.Logger, running *gateway.Gateway, file string) {
	loaded, err := settings.Load(file)
	if err != nil {
		log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	running.SetSeeds(loaded.Seeds)
	log.Info("settings reloaded", zap.Time("At", time.Now()), zap.Strings("Seeds", loaded.Seeds))
}

func limitMemory(limit unit.Bytes) {
	debug.SetMemoryLimit(int64(float64(limit) * memoryLimitShare))
	debug.SetGCPercent(gcPercent)
}
