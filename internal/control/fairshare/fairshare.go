// Package fairshare records what each client account has used lately of a shared resource, ranks
// the accounts that want more of it (below its share, at it, or beyond it), and finds those that
// flood it.
//
// An account's share is max-min fair by weight: what accounts don't ask for is lent to the
// others, in proportion to their weights. Recent use is a sum of costs that decays with usageTime.
// An account that was idle has no use, and goes first until it has used its share of that time:
// that is the only credit that it gets. Ranks only order requests, so a resource that is free goes
// to whoever asks.
//
// # Usage
//
//	var ledger fairshare.Ledger
//	use := ledger.Account(now, "boats", 1.5)
//	use.Wait(0.1)    // a request of this cost waits
//	ledger.Standing(now, use)
//	ledger.IsFlooding(now, use)
//	use.EndWait(0.1) // it waits no longer
//	ledger.Charge(now, use, 0.1)
//
// A Ledger has no goroutines, lock or clock: its owner guards it. The zero value is ready to use.
//
// # Units
//
// Costs are amounts of the resource in any unit, the same for all accounts. Weights are
// comparable with each other only.
package fairshare

import (
	"math"
	"slices"
	"time"

	"cicadaloom/internal/domain/ident"
)

const (
	// usageTime is the time in which recorded use decays to 1/e: about as long as a request has
	// for its first event. An account that has borrowed others' shares waits behind them for
	// about that long when they come back.
	usageTime = time.Second
	// forgetAfter is the time without a request after which an account is forgotten: e^-16 of its
	// use is left.
	forgetAfter = 16 * usageTime
	// rebaseAfter is how far charges are inflated before all are scaled back.
	rebaseAfter = 100 * usageTime
	// The level is kept for levelTime, or until maxUncounted of all use has been charged since.
	levelTime    = 5 * time.Millisecond
	maxUncounted = 0.05
	// maxAccounts bounds the accounts that are told apart.
	maxAccounts = 4096
	// maxRounds bounds the rounds in which the level is found.
	maxRounds = 16
	// tolerance is how far beyond its share an account counts as At it: use is counted in whole
	// requests.
	tolerance = 0.2
	// heavyExcess is the part of its share that an account has used on top of it once it is Heavy.
	// Of two accounts none uses more than twice its share.
	heavyExcess = 0.5
	// noiseTolerance and heavyNoise are the tolerance and heavyExcess of accounts with few requests,
	// in standard deviations of their use if requests arrive independently.
	noiseTolerance = 2
	heavyNoise     = 4
	// floodExcess is what a flooding account asks for at least on top of its part, in such parts, and
	// floodNoise the same in standard deviations: callers that come together are no flood.
	floodExcess = 1.5
	floodNoise  = 4
	// maxSingleCost is the greatest cost of a single request of an account with few requests that
	// counts as within its share, in usual costs.
	maxSingleCost = 2
	// costSmoothing is the weight of a new charge in the usual cost.
	costSmoothing = 0.05
	// stepsPerShare is the number of steps into which the use of a share is divided, and maxStep
	// bounds them.
	stepsPerShare = 2
	maxStep       = 100
)

// Rank tells how an account's use relates to its share. Lower ranks go first.
type Rank int

// The ranks, and their number.
const (
	// Below: the account has used and asks for no more than its share.
	Below Rank = iota
	// At: it asks for more than its share, and has used about that.
	At
	// Beyond and Heavy: it has used more than its share, or far more.
	Beyond
	Heavy
	RankCount
)

// String returns the rank's name.
func (r Rank) String() string {
	return [...]string{"Below", "At", "Beyond", "Heavy"}[r]
}

// Standing is where an account stands among the others. Of two accounts with the same rank the
// one with the lower step has used the smaller part of its share; accounts with the same step are
// alike.
type Standing struct {
	Rank Rank
	Step int
}

// HasUsedShare returns whether the account has used its share.
func (s Standing) HasUsedShare() bool {
	return s.Step >= stepsPerShare
}

// Use is the recent use of one account. Its fields belong to the Ledger that returned it.
type Use struct {
	name   ident.AccountName
	weight float64
	// used is the sum of charges, each multiplied by the inflation at its time.
	used float64
	// waiting is the cost of the requests that wait, waiters their number.
	waiting float64
	waiters int
	// seenAt is when the account last asked or was charged.
	seenAt time.Time
}

// Name returns the account's name.
func (u *Use) Name() ident.AccountName {
	return u.name
}

// Wait adds the cost of a request that waits.
func (u *Use) Wait(cost float64) {
	u.waiting += cost
	u.waiters++
}

// EndWait removes a cost that Wait added.
func (u *Use) EndWait(cost float64) {
	u.waiters--
	u.waiting -= cost
	if u.waiters == 0 {
		u.waiting = 0
	}
}

// asked is what the account has lately used or waits for, at an inflation.
func (u *Use) asked(inflation float64) float64 {
	return u.used + u.waiting*inflation
}

// Ledger has the recent use of all accounts.
type Ledger struct {
	byName map[ident.AccountName]*Use
	// all has the uses of byName, in the order in which they were added.
	all []*Use
	// others is shared by the accounts beyond maxAccounts.
	others Use
	// base is the instant at which a charge is not inflated. Charges grow by e in each usageTime,
	// which is the same as the decay of all earlier ones.
	base      time.Time
	usualCost float64
	sweptAt   time.Time
	// level is the use per weight of an account at its share, in inflated units, as of levelAt.
	level     float64
	inflation float64
	levelAt   time.Time
	// total is all use as of levelAt, uncounted what has been charged since.
	total     float64
	uncounted float64
	// asked is what all accounts ask for, weights the sum of their weights, hasFlood whether any of
	// them floods, and floodPart the part of all use by those that do; all as of levelAt.
	asked     float64
	weights   float64
	hasFlood  bool
	floodPart float64
}

// Account returns the use of an account with a weight; a weight that is not positive counts as 1.
// The result may be used while a request of the account waits or runs.
func (l *Ledger) Account(now time.Time, name ident.AccountName, weight float64) *Use {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	use, known := l.byName[name]
	if !known {
		use = l.add(now, name)
	}
	if use.weight != weight {
		use.weight = weight
		l.levelAt = time.Time{}
	}
	use.seenAt = now
	return use
}

func (l *Ledger) add(now time.Time, name ident.AccountName) *Use {
	l.sweep(now)
	if len(l.all) >= maxAccounts {
		return &l.others
	}
	if l.byName == nil {
		l.byName = make(map[ident.AccountName]*Use)
	}
	use := &Use{
		name: name,
	}
	l.byName[name] = use
	l.all = append(l.all, use)
	return use
}

// Charge adds a cost to an account's use. A negative cost gives back a part of an earlier one.
func (l *Ledger) Charge(now time.Time, use *Use, cost float64) {
	l.rebase(now)
	if cost > 0 {
		if l.usualCost == 0 {
			l.usualCost = cost
		}
		l.usualCost += (cost - l.usualCost) * costSmoothing
		use.seenAt = now
	}
	amount := cost * l.inflationAt(now)
	use.used = max(use.used+amount, 0)
	if l.uncounted += math.Abs(amount); l.uncounted > maxUncounted*l.total {
		l.levelAt = time.Time{}
	}
}

// HasFlood returns whether any account floods.
func (l *Ledger) HasFlood(now time.Time) bool {
	l.updateLevel(now)
	return l.hasFlood
}

// IsFlooding returns whether an account floods: by its weight it asks for far more than the others
// do on the mean, more than chance would explain. An account alone never does.
func (l *Ledger) IsFlooding(now time.Time, use *Use) bool {
	l.updateLevel(now)
	return l.hasFlood && l.isFlooding(use)
}

func (l *Ledger) isFlooding(use *Use) bool {
	others := l.weights - use.weight
	if others <= 0 {
		return false
	}
	asked := use.asked(l.inflation)
	part := use.weight * max(l.asked-asked, 0) / others
	request := l.usualCost * l.inflation
	noise := math.Sqrt(max(part, request) * request)
	return asked > part+max(floodExcess*part, floodNoise*noise)
}

// Standing returns where an account stands.
func (l *Ledger) Standing(now time.Time, use *Use) Standing {
	l.updateLevel(now)
	standing := Standing{
		Rank: l.rank(use),
	}
	// The least share is one request: an account with a tiny weight may have that too.
	if share := max(use.weight*l.level, l.usualCost*l.inflation); share > 0 {
		standing.Step = int(min(stepsPerShare*use.used/share, maxStep))
	}
	return standing
}

// FloodPart returns which part of what was used lately went to accounts that flood: about the part
// of the resource for which they compete while all others go first.
func (l *Ledger) FloodPart(now time.Time) float64 {
	l.updateLevel(now)
	return l.floodPart
}

func (l *Ledger) rank(use *Use) Rank {
	share := use.weight * l.level
	request := l.usualCost * l.inflation
	noise := math.Sqrt(max(share, request) * request)
	switch {
	case use.used+use.waiting*l.inflation <= share, l.isSingle(use):
		return Below
	case use.used <= share+max(tolerance*share, noiseTolerance*noise):
		return At
	case use.used <= share+max(heavyExcess*share, heavyNoise*noise):
		return Beyond
	default:
		return Heavy
	}
}

// isSingle reports whether an account asks for a single request after it has used next to nothing
// lately. That much is the least share, whatever the account's weight.
func (l *Ledger) isSingle(use *Use) bool {
	request := l.usualCost * l.inflation
	return use.waiters <= 1 && use.used <= tolerance*request && use.waiting*l.inflation <= maxSingleCost*request
}

// updateLevel finds the level at which the accounts' shares add up to all use. An account that
// has used less and asks for no more than its share leaves the rest to the others.
func (l *Ledger) updateLevel(now time.Time) {
	if !l.levelAt.IsZero() && now.Sub(l.levelAt) < levelTime && !now.Before(l.levelAt) {
		return
	}
	l.sweep(now)
	l.rebase(now)
	l.levelAt = now
	l.inflation = l.inflationAt(now)
	l.level = 0
	for range maxRounds {
		used, weight := 0.0, 0.0
		l.each(func(use *Use) {
			used += use.used
			if asked := use.used + use.waiting*l.inflation; asked < use.weight*l.level {
				used -= asked
				return
			}
			weight += use.weight
		})
		if weight == 0 || used/weight <= l.level {
			break
		}
		l.level = used / weight
	}
	l.updateFlood()
}

func (l *Ledger) updateFlood() {
	l.asked, l.weights, l.total, l.uncounted = 0, 0, 0, 0
	l.each(func(use *Use) {
		l.asked += use.asked(l.inflation)
		l.weights += use.weight
		l.total += use.used
	})
	l.hasFlood, l.floodPart = false, 0
	l.each(func(use *Use) {
		if l.isFlooding(use) {
			l.hasFlood = true
			l.floodPart += use.used / max(l.total, use.used, l.usualCost)
		}
	})
}

func (l *Ledger) each(visit func(*Use)) {
	for _, use := range l.all {
		visit(use)
	}
	if l.others.used > 0 || l.others.waiters > 0 {
		visit(&l.others)
	}
}

func (l *Ledger) inflationAt(now time.Time) float64 {
	return math.Exp(now.Sub(l.base).Seconds() / usageTime.Seconds())
}

// rebase scales all use back before the inflation grows too large.
func (l *Ledger) rebase(now time.Time) {
	if l.base.IsZero() {
		l.base = now
	}
	if now.Sub(l.base) < rebaseAfter {
		return
	}
	scale := 1 / l.inflationAt(now)
	for _, use := range l.all {
		use.used *= scale
	}
	l.others.used *= scale
	l.base = now
	l.levelAt = time.Time{}
}

// sweep forgets accounts that have been idle for forgetAfter.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < usageTime {
		return
	}
	l.sweptAt = now
	l.all = slices.DeleteFunc(l.all, func(use *Use) bool {
		isIdle := use.waiters == 0 && now.Sub(use.seenAt) > forgetAfter
		if isIdle {
			delete(l.byName, use.name)
		}
		return isIdle
	})
}
