package standin

import (
	"context"
	"flag"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/standin/weights"
)

const weightsHelp = `Paces the loads of weights. POST /loads answers when the load is done.

  GET /status    shows the loads going on and done
  POST /faults   sets the fault switches, GET /faults shows them

The switches: Down, FreezeRequests, SlowFactor, FailLoads.
`

func init() {
	commands.Register(program.Command{
		Name:    "weights",
		Summary: "the weight store",
		Help:    weightsHelp,
		Prepare: prepareWeights,
	})
}

func prepareWeights(flags *flag.FlagSet) program.Runner {
	var f commonFlags
	f.declare(flags)
	var options weights.Options
	flags.Float64Var(&options.LoadsPerSecond, "loads-per-second", weights.DefaultLoadsPerSecond, "model loads that the store gives a second")
	flags.IntVar(&options.FullSpeedLoads, "at-once", weights.DefaultFullSpeedLoads, "model loads that go on at full speed")
	flags.DurationVar(&options.MinAdapterTime, "adapter-fastest", weights.DefaultMinAdapterTime, "time of the fastest adapter")
	flags.DurationVar(&options.MaxAdapterTime, "adapter-slowest", weights.DefaultMaxAdapterTime, "time of the slowest adapter")
	flags.IntVar(&options.FullSpeedAdapterLoads, "adapters-at-once", weights.DefaultFullSpeedAdapterLoads, "adapters that go on at full speed")
	return func(ctx context.Context, to program.Streams, _ []string) error {
		store := weights.New(options)
		return f.serve(ctx, to.Out, store, &store.Faults)
	}
}
