package gateway

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/ident"
)

// toldSuspects bounds how many suspects a word has.
const toldSuspects = 32

// Looks at a server under which a request was lost. A server that crashed refuses
// connections at once; one whose connection was merely cut takes them.
var deathLooks = []time.Duration{80 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond}

const deathLookLimit = 300 * time.Millisecond

// Verdict implements relay.Knowledge.
func (g *Gateway) Verdict(fingerprint ident.Fingerprint) suspects.Verdict {
	return g.suspected.Load().Verdict(fingerprint)
}

// Lost implements relay.Knowledge: it finds out whether the server died under the
// request.
func (g *Gateway) Lost(loss suspects.Loss) {
	g.tomb.Go(func() error {
		for _, wait := range deathLooks {
			g.sleep(wait)
			if g.refusesConnections(loss.Address) {
				g.log.Info("server died under a request", zap.String("Request", string(loss.Request)),
					zap.String("Server", string(loss.Life.Server)), zap.String("Incarnation", string(loss.Life.Incarnation)))
				g.post(suspectHeard{event: suspects.Death{
					Fingerprint: loss.Fingerprint,
					Life:        loss.Life,
				}})
				return nil
			}
		}
		return nil
	})
}

// Cleared implements relay.Knowledge.
func (g *Gateway) Cleared(fingerprint ident.Fingerprint) {
	g.post(suspectHeard{event: suspects.Cleared{
		Fingerprint: fingerprint,
	}})
}

func (g *Gateway) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(g.context(), deathLookLimit)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	_ = conn.Close() // it was opened to see that it can be
	return false
}

// suspectHeard brings news of a suspect.
type suspectHeard struct {
	event suspects.Event
}

func (m suspectHeard) apply(now time.Time, c *control) {
	if !c.suspects.Step(now, m.event) {
		return
	}
	view := c.suspects.View()
	c.suspected.Store(view)
	if death, is := m.event.(suspects.Death); is && view.Verdict(death.Fingerprint) == suspects.Refuse {
		c.log.Warn("request refused from now on: servers die under it", zap.Uint64("Fingerprint", uint64(death.Fingerprint)))
	}
}
