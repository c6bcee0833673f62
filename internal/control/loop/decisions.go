package loop

import (
	"context"
	"fmt"

	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// Decided is what the hosts that answered decided of late.
type Decided struct {
	Decisions []decisions.Decision
	Hosts     []ident.HostID
	Missing   []ident.HostID
}

// Explain asks all hosts for what they decided: a refusal is known only to the
// host that made it, a move to the one that led.
func (l *Loop) Explain(ctx context.Context, query decisions.Query) (Decided, error) {
	got, err := gather(ctx, l, func(ctx context.Context, peer membership.Peer) ([]decisions.Decision, error) {
		if peer.Host == l.options.Settings.Host.Name {
			return l.Decisions(ctx, query)
		}
		return l.pool.Decisions(ctx, peer.Address, query)
	})
	if err != nil {
		return Decided{}, err
	}
	limit := decisions.MaxLimit
	if query.Limit > 0 {
		limit = min(limit, query.Limit)
	}
	return Decided{
		Decisions: decisions.Merge(limit, got.answers...),
		Hosts:     got.hosts,
		Missing:   got.missing,
	}, nil
}

// Decisions implements entryhost.Handler.
func (l *Loop) Decisions(_ context.Context, query decisions.Query) ([]decisions.Decision, error) {
	return l.options.Decisions.Find(query), nil
}

// keepMove keeps a move that this host, leading, has written and will order.
func (c *control) keepMove(noted *orders.NotedMove) {
	move := &noted.Move
	target := string(move.Weights.Model)
	if move.Weights.Adapter != "" {
		target = string(move.Weights.Adapter)
	}
	if move.Weights.Version != "" {
		target += " version " + string(move.Weights.Version)
	}
	why := string(move.Reason)
	if move.For != "" {
		why += ", for " + string(move.For)
	}
	if move.Benefit != 0 || move.Cost != 0 {
		why += fmt.Sprintf(", worth %.2f of a replica's work at a cost of %.2f", move.Benefit, move.Cost)
	}
	c.options.Decisions.Add(decisions.Decision{
		Kind:    decisions.KindMove,
		At:      noted.At,
		Team:    c.teamOf(move.Weights.Model),
		Order:   noted.Order,
		Target:  target,
		Server:  move.Server,
		Code:    string(move.Kind),
		Message: why,
		Have:    move.Have,
		Want:    move.Want,
	})
}

// teamOf gives the team that declares a model, none where nobody does any more.
func (c *control) teamOf(model ident.ModelName) ident.TeamName {
	for team, doc := range c.documents.Snapshot().Documents {
		if _, found := doc.Model(model); found {
			return team
		}
	}
	return ""
}
