package dispatch

import (
	"context"
	"math"
	"time"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Times to come back after, where nothing better is known.
const (
	retryAfterNoReplica = 2 * time.Second
	retryAfterFailure   = time.Second
	retryAfterSuspect   = time.Second
)

// choose finds the next backend server for the request, or the failure that
// ends it. It refuses at once what can't be answered in time any more: held
// back, the request would only take the place of one that still can.
func (j *journey) choose(ctx context.Context) (routing.Choice, *Failure) {
	now := j.Now()
	if !now.Before(j.request.Deadline) {
		return routing.Choice{}, j.fail(CodeDeadlinePassed, "the deadline has passed", time.Time{})
	}
	j.routing.Elsewhere = false
	choice, failure := j.look(ctx)
	// What a server may have died of stays with the two that it points to here.
	if failure == nil || !j.target.HasFar() || j.losses > 0 {
		return choice, failure
	}
	return j.chooseFar(ctx, failure)
}

// look finds a replica in the region that is looked at, and whether it can
// answer in time.
func (j *journey) look(ctx context.Context) (routing.Choice, *Failure) {
	choice, err := j.pick(ctx)
	now := j.Now()
	if err != nil {
		return routing.Choice{}, j.noReplica(now)
	}
	if j.routing.NumTried > 0 {
		return choice, nil
	}
	return choice, j.admit(choice.Replica, now)
}

// chooseFar looks in the other regions for what this one can't answer, while the
// link has room and the answer would come back in time: before the promised time
// where this region is busy, before the deadline where it has no replica at all.
func (j *journey) chooseFar(ctx context.Context, near *Failure) (routing.Choice, *Failure) {
	now := j.Now()
	freeAt, ever := j.Link.FreeAt(now)
	if !ever {
		return routing.Choice{}, near
	}
	if freeAt.After(now) {
		return routing.Choice{}, j.fail(CodeTooBusy, near.Message+"; the link to the other region is full", freeAt)
	}
	j.routing.Elsewhere = true
	choice, failure := j.look(ctx)
	if failure != nil {
		return routing.Choice{}, near
	}
	limit := j.request.Deadline
	if near.Code == CodeTooBusy {
		limit = j.limit()
	}
	if now.Add(choice.Wait).After(limit) {
		return routing.Choice{}, near
	}
	return choice, nil
}

// limit is when the first token has to be there. The promised time counts from
// the arrival; a caller that waits less long than that has its own.
func (j *journey) limit() time.Time {
	if j.request.Deadline.Before(j.promised) {
		return j.request.Deadline
	}
	return j.promised
}

// admit refuses the request if a replica can't answer it in time. Where no report
// stands behind the queue, nothing is refused for it.
func (j *journey) admit(replica *routing.Replica, now time.Time) *Failure {
	if !replica.Gauge.Known(now) {
		return nil
	}
	late, refused := replica.Team.Peek(j.class).Refuse(replica.Load(now), now, j.limit())
	if !refused {
		return nil
	}
	// The queue is short enough again after what the request would be late by.
	// Those refused together should not come back together.
	back := late + time.Duration(float64(late)*spreadOfReturns*float64(j.routing.Dice)/math.MaxUint64)
	return j.fail(CodeTooBusy, "the promised time can't be met now: "+late.Round(time.Millisecond).String()+" too late", now.Add(back))
}

// spreadOfReturns is the part by which a time to come back is made longer at most.
const spreadOfReturns = 0.5

// A request that needs a backend server to itself waits for one this long, and
// looks this often.
const (
	alonePatience = 2 * time.Second
	aloneEvery    = 10 * time.Millisecond
)

// pick asks the policy. A suspect waits for a replica with nothing else under
// way: most of them are innocent, and their neighbours' work ends soon.
//
// A content that nobody has answered yet may be one that crashes the servers
// that run it, and many copies of it may come at once, through all hosts, before
// the first death shows. So it is confined to two replicas. Only when these are
// gone for another reason may others run it: at once where no server has died
// lately, else after the time in which a host would have heard of the deaths.
func (j *journey) pick(ctx context.Context) (routing.Choice, error) {
	start := j.Now()
	for {
		j.routing.Now = j.Now()
		if j.verdict = j.Knowledge.Suspects().Verdict(j.fingerprint); j.verdict == suspects.Refuse {
			return routing.Choice{}, routing.ErrNoReplica
		}
		j.routing.Alone = j.losses > 0 || j.verdict == suspects.Alone
		choice, err := j.Policy.Choose(j.target, &j.routing)
		waited := j.routing.Now.Sub(start)
		if err == nil || !j.worthWaiting(waited) {
			return choice, err
		}
		if j.mayLeavePair(waited) {
			j.routing.Confined = false
			continue
		}
		if !pause(ctx) {
			return choice, err
		}
	}
}

// worthWaiting tells whether a replica may yet be found.
func (j *journey) worthWaiting(waited time.Duration) bool {
	return (j.routing.Alone || j.routing.Confined) && waited < alonePatience
}

// mayLeavePair tells whether a confined request may go to other replicas.
func (j *journey) mayLeavePair(waited time.Duration) bool {
	return j.routing.Confined && j.losses == 0 && (waited >= holdFor || !j.deaths.recent(j.routing.Now))
}

// pause waits a little, unless nobody waits for the request any more.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(aloneEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (j *journey) noReplica(now time.Time) *Failure {
	switch {
	case j.verdict == suspects.Refuse:
		return j.suspect()
	case j.routing.NumTried > 0:
		return j.fail(CodeBackendFailed, "no backend server is left to try", now.Add(retryAfterFailure))
	case j.verdict == suspects.Alone:
		return j.fail(CodeTooBusy, "a backend server died while this request was under way there; it needs one to itself and none is free", now.Add(retryAfterSuspect))
	default:
		return j.fail(CodeNoReplica, "no replica is ready", now.Add(retryAfterNoReplica))
	}
}

// setOut records an attempt before its first byte leaves.
func (j *journey) setOut(choice routing.Choice) {
	j.attempt = ident.NewAttemptID()
	if j.routing.NumTried < routing.MaxTried {
		j.routing.Tried[j.routing.NumTried] = choice.Replica.Server
		j.routing.NumTried++
	}
	j.sentAt = j.Now()
	j.ticket = choice.Replica.Team.Enter(j.class)
	j.queued = choice.Replica.Gauge.Begin(j.sentAt)
	if choice.Replica.Far() {
		j.crossing = j.Link.Begin(j.sentAt, unit.Bytes(len(j.request.Body)), j.Knowledge.Table().HostsInRegion())
	}
	j.Metrics.attempt(j.target)
	j.trail.Sending(j.attempt)
}

// leave ends what an attempt holds, however it ended.
func (j *journey) leave() {
	j.ticket.Leave(false)
	j.crossing.End(j.Now())
}

// mayTryAgain tells whether the request can be sent to another backend server,
// the retry budget aside. safe tells that the last attempt provably did not run it.
func (j *journey) mayTryAgain(safe bool) bool {
	if j.routing.NumTried >= routing.MaxTried || !j.Now().Before(j.request.Deadline) {
		return false
	}
	return safe || j.mayRepeat && j.verdict != suspects.Alone
}

// lost records that a backend server fell silent while the request was there.
// One that hangs has not died of it; one whose connection was cut may have.
func (j *journey) lost(choice routing.Choice, cause error, stalled bool) {
	choice.Replica.Gauge.Failed(j.Now())
	j.Metrics.lost(choice)
	if !stalled {
		// Until it is known whether the server died of this request, it goes on
		// alone: beside others it could take them along, or be blamed for theirs.
		j.losses++
		j.deaths.noticed(j.Now())
	}
	j.records().lost(j.Now(), j.about(), choice, cause)
	j.Reporter.Died(suspects.Loss{
		Fingerprint: j.fingerprint,
		Request:     j.request.ID,
		Attempt:     j.attempt,
		Life: suspects.Life{
			Server:      choice.Replica.Server,
			Incarnation: choice.Replica.Incarnation,
		},
		Address: choice.Replica.Address,
	})
}
