package claims

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/outcome"
	"cicadaloom/internal/domain/store"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// randomFleet is a fleet whose messages wait in a pool until the test picks one, in
// any order and with any fault.
type randomFleet struct {
	*fleet
	pool     []message
	attempts int
	// openAttempts has the granted attempts that are neither finished nor released,
	// with the host and incarnation at which their callers wait.
	openAttempts []openAttempt
}

type openAttempt struct {
	claim       Claim
	host        *simHost
	incarnation int
}

var smallLogOptions = Options{
	Partitions:      2,
	SegmentSize:     500,
	MaxFullHeadSize: 1500,
	MaxSealedSize:   2000,
}

func newRandomFleet(t *rapid.T) *randomFleet {
	c := &randomFleet{
		fleet: newFleet(t, 3, smallLogOptions),
	}
	c.runFor(time.Second)
	c.send = func(m message) { c.pool = append(c.pool, m) }
	c.onAnswer = c.addOpenAttempt
	for _, name := range c.names {
		h := c.hosts[name]
		h.clockSkew = time.Duration(rapid.IntRange(-2, 2).Draw(t, "skew")) * time.Second
	}
	return c
}

func (c *randomFleet) addOpenAttempt(a Answer) {
	if a.Verdict != Granted {
		return
	}
	for _, h := range c.hosts {
		if _, here := h.machine.grantedUntil[a.Attempt]; here {
			c.openAttempts = append(c.openAttempts, openAttempt{
				claim:       c.checker.claims[a.Attempt],
				host:        h,
				incarnation: h.incarnation,
			})
		}
	}
}

func (c *randomFleet) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(c.names)-1).Draw(t, "host")
}

func (c *randomFleet) drawClaim(t *rapid.T) {
	c.attempts++
	claim := Claim{
		Team:        testTeam,
		Key:         rapid.SampledFrom([]ident.IdempotencyKey{"boat", "wig", "van", "kit"}).Draw(t, "key"),
		Attempt:     newAttemptID(c.attempts),
		Fingerprint: rapid.SampledFrom([]ident.Fingerprint{7, 7, 7, 8}).Draw(t, "fingerprint"),
	}
	timeout := rapid.SampledFrom([]time.Duration{4 * time.Second, 10 * time.Second, time.Minute}).Draw(t, "patience")
	retention := rapid.SampledFrom([]time.Duration{8 * time.Second, longRetention}).Draw(t, "keep")
	claim.Deadline = c.now.Add(timeout)
	claim.KeepUntil = claim.Deadline.Add(retention)
	c.submitClaim(c.drawHost(t), claim)
}

// takeMessage removes a random message from the pool, among those that fit.
func (c *randomFleet) takeMessage(t *rapid.T, matches func(message) bool) (message, bool) {
	var matching []int
	for i, m := range c.pool {
		if matches(m) {
			matching = append(matching, i)
		}
	}
	if len(matching) == 0 {
		return message{}, false
	}
	i := matching[rapid.IntRange(0, len(matching)-1).Draw(t, "message")]
	m := c.pool[i]
	c.pool = append(c.pool[:i:i], c.pool[i+1:]...)
	return m, true
}

func isCall(m message) bool { return m.command != nil && m.event == nil && !m.dropsReply }

func anyMessage(message) bool { return true }

func (c *randomFleet) drawDeliver(t *rapid.T) {
	if m, found := c.takeMessage(t, anyMessage); found {
		c.deliver(m)
	}
}

// drawFault lets a call fail: refused, its answer lost, or without an answer and
// still in flight to take effect late. A reply is replaced by no answer.
func (c *randomFleet) drawFault(t *rapid.T) {
	m, found := c.takeMessage(t, func(m message) bool { return m.command != nil && !m.dropsReply })
	if !found {
		return
	}
	err := store.ErrUnknownOutcome
	switch {
	case !isCall(m):
	case rapid.Bool().Draw(t, "refused") && m.isStoreCall():
		err = store.ErrUnavailable
	case rapid.Bool().Draw(t, "late"):
		lateCall := m
		lateCall.dropsReply = true
		c.pool = append(c.pool, lateCall)
	}
	if m.incarnation == m.host.incarnation {
		c.step(m.host, failureEvent(m.command, err))
	}
}

// drawRepeat delivers a forwarded message and keeps it in the pool to be delivered
// again.
func (c *randomFleet) drawRepeat(t *rapid.T) {
	m, found := c.takeMessage(t, func(m message) bool { return isCall(m) && !m.isStoreCall() })
	if found {
		c.pool = append(c.pool, m)
		c.deliver(m)
	}
}

// drawFinishOrRelease ends an attempt at the host that was granted it.
func (c *randomFleet) drawFinishOrRelease(t *rapid.T) {
	if len(c.openAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.openAttempts)-1).Draw(t, "attempt")
	open := c.openAttempts[i]
	c.openAttempts = append(c.openAttempts[:i:i], c.openAttempts[i+1:]...)
	if open.incarnation != open.host.incarnation {
		return
	}
	if rapid.Bool().Draw(t, "run") {
		finish := Finish{
			Team:    testTeam,
			Key:     open.claim.Key,
			Attempt: open.claim.Attempt,
			Status:  200,
			Body:    []byte(open.claim.Attempt),
		}
		c.checker.finishes[open.claim.Attempt] = finish
		c.step(open.host, finish)
		return
	}
	c.checker.released[open.claim.Attempt] = true
	c.step(open.host, Release{
		Team:    testTeam,
		Key:     open.claim.Key,
		Attempt: open.claim.Attempt,
		Outcome: (&outcome.AttemptHistory{}).Outcome(),
	})
}

func (c *randomFleet) drawCrash(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	c.startHost(h)
	c.step(h, c.allHostsLive())
}

func (c *randomFleet) drawFreeze(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	if h.isFrozen {
		c.unfreeze(h)
		return
	}
	h.isFrozen = true
}

// drawLiveHosts sends one host its own view of the live hosts.
func (c *randomFleet) drawLiveHosts(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	var view LiveHosts
	for _, name := range c.names {
		if rapid.Bool().Draw(t, "live") {
			view.Hosts = append(view.Hosts, name)
		}
	}
	c.step(h, view)
}

func (c *randomFleet) drawTimeStep(t *rapid.T) {
	c.advanceClock(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(t, "time"))
}

func (c *randomFleet) advanceClock(duration time.Duration) {
	c.now = c.now.Add(duration)
	for _, name := range c.names {
		c.step(c.hosts[name], Tick{})
	}
}

func (c *randomFleet) checkPages(t *rapid.T) {
	segments := make(map[string]int)
	for key, e := range c.store.entries {
		prefix, _, sealed := strings.Cut(key, segmentPath)
		if sealed {
			segments[prefix]++
			require.LessOrEqual(t, len(e.Value), smallLogOptions.MaxFullHeadSize+maxBatchSize)
			require.LessOrEqual(t, segments[prefix], smallLogOptions.MaxSealedSize/smallLogOptions.SegmentSize)
			continue
		}
		require.LessOrEqual(t, len(e.Value), smallLogOptions.MaxFullHeadSize+64)
	}
}

// settle ends all faults and delivers all messages.
func (c *randomFleet) settle(t *rapid.T) {
	for _, name := range c.names {
		c.unfreeze(c.hosts[name])
		c.step(c.hosts[name], c.allHostsLive())
	}
	for range 1200 {
		for len(c.pool) > 0 {
			m := c.pool[0]
			c.pool = c.pool[1:]
			c.deliver(m)
		}
		c.advanceClock(100 * time.Millisecond)
	}
	for _, name := range c.names {
		require.Empty(t, c.hosts[name].machine.tasks, "%s has tasks that never end", name)
	}
}

// Callers send and repeat requests through all hosts while calls are refused, lost,
// answered late or take effect late, hosts crash and freeze, clocks differ, and hosts
// disagree about the owners. No caller may get a false answer, and once the faults
// end every waiting task must end.
func TestRandomFaultsKeepAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRandomFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"claim":    c.drawClaim,
			"claim2":   c.drawClaim,
			"deliver":  c.drawDeliver,
			"deliver2": c.drawDeliver,
			"deliver3": c.drawDeliver,
			"deliver4": c.drawDeliver,
			"deliver5": c.drawDeliver,
			"fault":    c.drawFault,
			"repeat":   c.drawRepeat,
			"end":      c.drawFinishOrRelease,
			"death":    c.drawCrash,
			"freeze":   c.drawFreeze,
			"homes":    c.drawLiveHosts,
			"time":     c.drawTimeStep,
			"time2":    c.drawTimeStep,
			"":         c.checkPages,
		})
		c.settle(t)
		for host := range c.names {
			key := ident.IdempotencyKey(fmt.Sprintf("fresh-%d", host))
			c.attempts++
			c.claim(host, key, newAttemptID(c.attempts))
		}
		c.settle(t)
		for i := range c.names {
			a := c.answers[newAttemptID(c.attempts-i)]
			if a.Verdict != Granted {
				require.Equal(t, "the log of claims is full", a.Reason)
			}
		}
		c.checkPages(t)
	})
}
