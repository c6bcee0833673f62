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

// chaos is a fleet whose messages wait in a pool until the test picks one, in
// any order, and says what befalls it.
type chaos struct {
	*fleet
	pool     []message
	attempts int
	// open has the granted attempts that are neither finished nor released, and
	// the host and life at which their callers wait.
	open []openAttempt
}

type openAttempt struct {
	claim Claim
	host  *simHost
	life  int
}

var chaosOptions = Options{
	Partitions:  2,
	SegmentSize: 500,
	ReserveSize: 1500,
	LogSize:     2000,
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		fleet: newFleet(t, 3, chaosOptions),
	}
	c.run(time.Second)
	c.post = func(m message) { c.pool = append(c.pool, m) }
	c.onAnswer = c.keepOpen
	for _, name := range c.names {
		h := c.hosts[name]
		h.skew = time.Duration(rapid.IntRange(-2, 2).Draw(t, "skew")) * time.Second
	}
	return c
}

func (c *chaos) keepOpen(a Answer) {
	if a.Verdict != Granted {
		return
	}
	for _, h := range c.hosts {
		if _, here := h.machine.granted[a.Attempt]; here {
			c.open = append(c.open, openAttempt{
				claim: c.truth.asked[a.Attempt],
				host:  h,
				life:  h.life,
			})
		}
	}
}

func (c *chaos) drawHost(t *rapid.T) int {
	return rapid.IntRange(0, len(c.names)-1).Draw(t, "host")
}

func (c *chaos) drawClaim(t *rapid.T) {
	c.attempts++
	claim := Claim{
		Team:        team,
		Key:         rapid.SampledFrom([]ident.IdempotencyKey{"boat", "wig", "van", "kit"}).Draw(t, "key"),
		Attempt:     attemptOf(c.attempts),
		Fingerprint: rapid.SampledFrom([]ident.Fingerprint{7, 7, 7, 8}).Draw(t, "fingerprint"),
	}
	patience := rapid.SampledFrom([]time.Duration{4 * time.Second, 10 * time.Second, time.Minute}).Draw(t, "patience")
	keep := rapid.SampledFrom([]time.Duration{8 * time.Second, plenty}).Draw(t, "keep")
	claim.Deadline = c.now.Add(patience)
	claim.KeepUntil = claim.Deadline.Add(keep)
	c.claimWith(c.drawHost(t), claim)
}

// take removes a message from the pool: one among those that fit.
func (c *chaos) take(t *rapid.T, fits func(message) bool) (message, bool) {
	var fitting []int
	for i, m := range c.pool {
		if fits(m) {
			fitting = append(fitting, i)
		}
	}
	if len(fitting) == 0 {
		return message{}, false
	}
	i := fitting[rapid.IntRange(0, len(fitting)-1).Draw(t, "message")]
	m := c.pool[i]
	c.pool = append(c.pool[:i:i], c.pool[i+1:]...)
	return m, true
}

func isCall(m message) bool { return m.command != nil && m.event == nil && !m.mute }

func anyMessage(message) bool { return true }

func (c *chaos) drawDeliver(t *rapid.T) {
	if m, found := c.take(t, anyMessage); found {
		c.arrive(m)
	}
}

// drawFault befalls a call: refused, answer lost, or late (presumed lost and
// still on its way), or a reply that is replaced by no answer.
func (c *chaos) drawFault(t *rapid.T) {
	m, found := c.take(t, func(m message) bool { return m.command != nil && !m.mute })
	if !found {
		return
	}
	err := store.ErrUnknownOutcome
	switch {
	case !isCall(m):
	case rapid.Bool().Draw(t, "refused") && m.toStore():
		err = store.ErrUnavailable
	case rapid.Bool().Draw(t, "late"):
		mute := m
		mute.mute = true
		c.pool = append(c.pool, mute)
	}
	if m.life == m.host.life {
		c.step(m.host, failed(m.command, err))
	}
}

// drawRepeat delivers a forwarded message and leaves it to come once more.
func (c *chaos) drawRepeat(t *rapid.T) {
	m, found := c.take(t, func(m message) bool { return isCall(m) && !m.toStore() })
	if found {
		c.pool = append(c.pool, m)
		c.arrive(m)
	}
}

// drawEnd finishes or releases an attempt at the host that sent it.
func (c *chaos) drawEnd(t *rapid.T) {
	if len(c.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.open)-1).Draw(t, "attempt")
	o := c.open[i]
	c.open = append(c.open[:i:i], c.open[i+1:]...)
	if o.life != o.host.life {
		return
	}
	if rapid.Bool().Draw(t, "run") {
		finish := Finish{
			Team:    team,
			Key:     o.claim.Key,
			Attempt: o.claim.Attempt,
			Status:  200,
			Body:    []byte(o.claim.Attempt),
		}
		c.truth.finishes[o.claim.Attempt] = finish
		c.step(o.host, finish)
		return
	}
	c.truth.released[o.claim.Attempt] = true
	c.step(o.host, Release{
		Team:    team,
		Key:     o.claim.Key,
		Attempt: o.claim.Attempt,
		Outcome: (&outcome.Trail{}).Outcome(),
	})
}

func (c *chaos) drawDeath(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	c.start(h)
	c.step(h, c.live())
}

func (c *chaos) drawFreeze(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	if h.frozen {
		c.thaw(h)
		return
	}
	h.frozen = true
}

// drawHomes gives one host its own view of who is live.
func (c *chaos) drawHomes(t *rapid.T) {
	h := c.hosts[c.names[c.drawHost(t)]]
	var view Homes
	for _, name := range c.names {
		if rapid.Bool().Draw(t, "live") {
			view.Hosts = append(view.Hosts, name)
		}
	}
	c.step(h, view)
}

func (c *chaos) drawTime(t *rapid.T) {
	c.pass(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 5 * time.Second}).Draw(t, "time"))
}

func (c *chaos) pass(duration time.Duration) {
	c.now = c.now.Add(duration)
	for _, name := range c.names {
		c.step(c.hosts[name], Tick{})
	}
}

func (c *chaos) checkPages(t *rapid.T) {
	segments := make(map[string]int)
	for key, e := range c.store.entries {
		prefix, _, sealed := strings.Cut(key, segmentPath)
		if sealed {
			segments[prefix]++
			require.LessOrEqual(t, len(e.Value), chaosOptions.ReserveSize+maxBatch)
			require.LessOrEqual(t, segments[prefix], chaosOptions.LogSize/chaosOptions.SegmentSize)
			continue
		}
		require.LessOrEqual(t, len(e.Value), chaosOptions.ReserveSize+64)
	}
}

// settle ends all faults and lets everything that is on its way arrive.
func (c *chaos) settle(t *rapid.T) {
	for _, name := range c.names {
		c.thaw(c.hosts[name])
		c.step(c.hosts[name], c.live())
	}
	for range 1200 {
		for len(c.pool) > 0 {
			m := c.pool[0]
			c.pool = c.pool[1:]
			c.arrive(m)
		}
		c.pass(100 * time.Millisecond)
	}
	for _, name := range c.names {
		require.Empty(t, c.hosts[name].machine.tasks, "%s has tasks that never end", name)
	}
}

// Callers send and repeat requests through all hosts while calls are refused,
// lost, answered late or land late, hosts die and freeze, clocks differ, and
// hosts disagree about who is home. Nobody is told anything false, and when the
// faults end every waiting task ends.
func TestModelAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t)
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
			"end":      c.drawEnd,
			"death":    c.drawDeath,
			"freeze":   c.drawFreeze,
			"homes":    c.drawHomes,
			"time":     c.drawTime,
			"time2":    c.drawTime,
			"":         c.checkPages,
		})
		c.settle(t)
		for host := range c.names {
			key := ident.IdempotencyKey(fmt.Sprintf("fresh-%d", host))
			c.attempts++
			c.claim(host, key, attemptOf(c.attempts))
		}
		c.settle(t)
		for i := range c.names {
			a := c.seen[attemptOf(c.attempts-i)]
			if a.Verdict != Granted {
				require.Equal(t, "the log of claims is full", a.Reason)
			}
		}
		c.checkPages(t)
	})
}
