package standin

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/standin/engine"
)

const engineHelp = `Serves chat completions, orders, reports and cache events as a model engine
does. Its memory is empty at first: orders fill it.

  POST /faults   sets the fault switches, GET /faults shows them
  GET /stats     shows what was run, how often, and what was ordered

The switches: Down, FreezeRequests, SlowFactor, LoseOrders, DelayOrders,
DelayOrdersBy, CrashOnMarker, RestartAfter, ReportLag, CacheEventGaps,
IgnoreFencing, CutStreamAfter, BreakStreamAfter, EndStreamEarly,
ForeignAnswers, LeaveNow, RequestLimit, RestFor, SayLeaving.
`

func init() {
	commands.Register(program.Command{
		Name:    "engine",
		Summary: "a model engine",
		Help:    engineHelp,
		Prepare: prepareEngine,
	})
}

func prepareEngine(flags *flag.FlagSet) program.Runner {
	var f listedFlags
	f.declare(flags, "engine")
	options := engine.Options{
		Memory: engine.DefaultMemory,
	}
	flags.Var((*bytesFlag)(&options.Memory), "memory", "accelerator memory, as `80GiB`")
	flags.IntVar(&options.Slots, "slots", engine.DefaultSlots, "requests that run at once")
	flags.IntVar(&options.QueueLimit, "queue", engine.DefaultQueueLimit, "requests that wait at most")
	flags.DurationVar(&options.FirstTokenTime, "first-token", engine.DefaultFirstTokenTime, "time to the first token")
	flags.DurationVar(&options.TimePerToken, "per-token", engine.DefaultTimePerToken, "time per further token when idle")
	flags.StringVar(&options.WeightStore, "weights", "", "`address` of the weight store; without it loads take a fixed time")
	flags.DurationVar(&options.LoadDelay, "load-delay", engine.DefaultLoadDelay, "time of a load without weight store")
	flags.DurationVar(&options.AdapterLoadDelay, "adapter-load-delay", engine.DefaultAdapterLoadDelay, "the same for adapters")
	flags.IntVar(&options.CacheEntries, "cache", engine.DefaultCacheEntries, "prompt prefixes that the cache holds")
	flags.BoolVar(&options.IgnoreFencing, "ignore-fencing", false, "take orders whatever their fencing number")
	flags.DurationVar(&options.RestartAfter, "restart-after", engine.DefaultRestartAfter, "time away after a crash")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		options.Name = ident.ServerName(f.name)
		e := engine.New(options)
		return f.serveListed(ctx, to.Out, e, &e.Faults, backend.Server{
			Kind: backend.KindEngine,
		})
	}
}

// bytesFlag is a flag value: a number of bytes with a unit.
type bytesFlag unit.Bytes

// String implements flag.Value.
func (a *bytesFlag) String() string {
	return unit.Bytes(*a).String()
}

// Set implements flag.Value: it parses a whole number with one of the units B, KiB,
// MiB, GiB.
func (a *bytesFlag) Set(text string) error {
	parsed, err := parseBytes(text)
	if err != nil {
		return err
	}
	*a = bytesFlag(parsed)
	return nil
}
