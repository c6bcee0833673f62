package gateway

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/pace"
	"cicadaloom/internal/domain/ident"
)

// maxPendingPaces bounds the readings that wait to be sent on: a fleet's engines several times.
const maxPendingPaces = 4096

// paceKey is an incarnation of an engine.
type paceKey struct {
	server      ident.ServerName
	incarnation ident.Incarnation
}

// takePaces returns the paces that engines have named since the last call, to this host and to
// those for which it relays, one for each engine.
func (c *control) takePaces() []pace.ServerReading {
	for service, pool := range c.pools {
		if c.configuration.Services[service].Engine != nil {
			c.addPaces(pool.TakeReadings())
		}
	}
	if len(c.pendingPaces) == 0 {
		return nil
	}
	all := make([]pace.ServerReading, 0, len(c.pendingPaces))
	for key, reading := range c.pendingPaces {
		all = append(all, pace.ServerReading{
			Server:      key.server,
			Incarnation: key.incarnation,
			Reading:     reading,
		})
	}
	clear(c.pendingPaces)
	return all
}

func (c *control) addPaces(readings []pace.ServerReading) {
	if c.pendingPaces == nil {
		c.pendingPaces = make(map[paceKey]pace.Reading)
	}
	for i := range readings {
		key := paceKey{
			server:      readings[i].Server,
			incarnation: readings[i].Incarnation,
		}
		if _, known := c.pendingPaces[key]; known || len(c.pendingPaces) < maxPendingPaces {
			c.pendingPaces[key] = readings[i].Reading
		}
	}
}

// receivePaces applies the readings of other hosts: the leader's planners learn the engines' levels
// from them, other hosts forward them.
func (c *control) receivePaces(now time.Time, readings []pace.ServerReading) {
	if len(readings) == 0 {
		return
	}
	if c.term == nil {
		c.addPaces(readings)
		return
	}
	for _, planner := range c.planners {
		for _, changed := range planner.RecordPaces(now, readings) {
			c.log.Info("pace of engine", zap.String("Server", string(changed.Server)), zap.Float64("Pace", float64(changed.Reading)))
		}
	}
}
