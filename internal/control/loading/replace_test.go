package loading

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/domain/unit"
)

// crowd is a catalogue that is far greater than the places of its engines, and callers
// that ask for a few of its models, other ones from time to time.
type crowd struct {
	*world
	dice    *rand.Rand
	planner *Planner
	asked   []ident.ModelName
	// waiting has when the requests came whose model was held nowhere.
	waiting map[ident.ModelName][]time.Time
	served  map[ident.ModelName]int
	came    map[ident.ModelName]int
	soon    int
	left    int
	total   int
}

const (
	crowdEngines = 18
	crowdModels  = 291
	crowdAsked   = 18
	// crowdLeaves is how long a caller waits, crowdSoon what counts as soon.
	crowdLeaves = 4800 * time.Millisecond
	crowdSoon   = 2500 * time.Millisecond
)

func newCrowd(seed uint64) *crowd {
	c := &crowd{
		world: &world{
			now: start,
			declare: &route.Engine{
				Slots:          12,
				Memory:         200 * unit.Gibibyte,
				AdapterPlaces:  8,
				LoadsPerSecond: 2.5,
			},
		},
		dice:    rand.New(rand.NewPCG(seed, 1)),
		waiting: make(map[ident.ModelName][]time.Time),
		served:  make(map[ident.ModelName]int),
		came:    make(map[ident.ModelName]int),
	}
	for i := range crowdModels {
		c.declare.Models = append(c.declare.Models, route.Model{
			Name:     ident.ModelName("m" + strconv.Itoa(i)),
			Memory:   []unit.Bytes{73, 73, 43}[i%3] * unit.Gibibyte,
			LoadTime: 1500 * time.Millisecond,
			DiskTime: 1600 * time.Millisecond,
			WarmTime: 1200 * time.Millisecond,
		})
	}
	for i := range crowdEngines {
		e := &worldEngine{
			name: ident.ServerName("e" + strconv.Itoa(i)),
		}
		e.restart()
		c.engines = append(c.engines, e)
	}
	for i := range crowdAsked {
		c.asked = append(c.asked, ident.ModelName("m"+strconv.Itoa(i)))
	}
	for i, e := range c.engines { // laid out for what was asked for in the past
		e.hold(c.asked[i%6], ident.ModelName("m"+strconv.Itoa(i)))
	}
	c.planner = NewPlanner(Options{})
	c.planner.Declare(c.declare)
	return c
}

// second plays a second of 30 requests, the first models most asked for.
func (c *crowd) second() {
	for range 10 {
		for range 3 {
			rank := int(float64(len(c.asked)) * c.dice.Float64() * c.dice.Float64())
			c.come(c.asked[rank])
		}
		for name, since := range c.waiting {
			c.wait(name, since)
		}
		c.round(c.planner, 1)
	}
}

func (c *crowd) come(name ident.ModelName) {
	c.total++
	c.came[name]++
	c.ask(c.planner, name, 0.1)
	if c.holding(name) > 0 {
		c.soon++
		c.served[name]++
		return
	}
	c.waiting[name] = append(c.waiting[name], c.now)
}

// wait serves who waits for a model if it has come, and lets go who leaves.
func (c *crowd) wait(name ident.ModelName, since []time.Time) {
	var still []time.Time
	for _, at := range since {
		waited := c.now.Sub(at)
		switch {
		case c.holding(name) > 0:
			c.served[name]++
			if waited <= crowdSoon {
				c.soon++
			}
		case waited > crowdLeaves:
			c.left++
		default:
			still = append(still, at)
		}
	}
	c.waiting[name] = still
	if len(still) > 0 {
		c.planner.Ask(c.now, "r", request.Weights{
			Model: name,
		}, Demand{
			Waiting: int64(len(still)),
		})
	}
}

// 291 models are declared and 18 engines hold 36 of them; callers ask for 18, and every
// eight seconds five of these are others. All places were filled with models in the order
// of their names before the first caller came, and nothing was loaded afterwards: who
// asked for what was held nowhere waited for nothing. Each model that is asked for has to
// come, in the place of what is not asked for, and no more loads than that takes.
func TestWhatIsAskedForReplacesWhatIsNot(t *testing.T) {
	for seed := range uint64(3) {
		c := newCrowd(seed)
		for range 100 {
			c.round(c.planner, 1)
		}
		require.Empty(t, c.begun, "nothing is loaded that nobody has asked for")
		for second := range 40 {
			if second%8 == 7 {
				for i := range 5 {
					c.asked[c.dice.IntN(crowdAsked)] = ident.ModelName("m" + strconv.Itoa(100+5*second+i))
				}
			}
			c.second()
		}
		t.Logf("seed %d: of %d requests %d soon, %d left, %d loads from the store", seed, c.total, c.soon, c.left, len(c.begun))
		require.Greater(t, float64(c.soon)/float64(c.total), 0.85)
		require.Less(t, float64(c.left)/float64(c.total), 0.02)
		for name, came := range c.came {
			if came > 5 {
				require.Positive(t, c.served[name], "%s is never served", name)
			}
		}
		require.Less(t, len(c.begun), 4*(crowdAsked+25), "places don't go to and fro")
		for _, e := range c.engines {
			require.LessOrEqual(t, c.used(e), c.declare.Memory)
		}
	}
}

// Where all places are taken by models that are asked for now and then, a model that is
// asked for all the time has to get one, and the others must not take it back in turns.
func TestABusyModelReplacesARareOne(t *testing.T) {
	c := newCrowd(1)
	c.engines = c.engines[:3]
	rare := []ident.ModelName{"m1", "m3", "m4", "m6", "m7", "m9"}
	for i, e := range c.engines {
		e.held = nil
		e.hold(rare[2*i], rare[2*i+1])
	}
	came := time.Duration(0)
	unheld := 0
	for second := range 30 {
		for i := range 10 {
			if i == 0 {
				c.ask(c.planner, rare[second%len(rare)], 0.1)
			}
			if second >= 10 {
				c.ask(c.planner, "m0", 0.05)
				if c.holding("m0") == 0 {
					c.planner.Ask(c.now, "r", request.Weights{Model: "m0"}, Demand{Waiting: 1})
					unheld++
				}
			}
			c.round(c.planner, 1)
		}
	}
	came = time.Duration(unheld) * 100 * time.Millisecond
	require.Less(t, came, 6*time.Second, "m0 comes and stays")
	require.Less(t, len(c.begun), 10)
}

// Orders of the planner never exceed an engine's memory in such a crowd either, though
// engines crash and answers are lost.
func TestReplacingNeverOvercommits(t *testing.T) {
	c := newCrowd(7)
	for second := range 60 {
		if second%5 == 4 {
			c.asked[c.dice.IntN(crowdAsked)] = ident.ModelName("m" + strconv.Itoa(c.dice.IntN(crowdModels)))
			c.engines[c.dice.IntN(crowdEngines)].restart()
		}
		c.second()
		for _, e := range c.engines {
			require.LessOrEqual(t, c.used(e), c.declare.Memory)
		}
	}
}
