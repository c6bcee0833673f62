package loop

import (
	"context"
	"fmt"

	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/membership"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/domain/ident"
)

// DecisionsReport has the recent decisions of all hosts that answered.
type DecisionsReport struct {
	Decisions []decisions.Decision
	Hosts     []ident.HostID
	Missing   []ident.HostID
}

// Explain asks all hosts for their decisions: a refusal is known only to the host
// that refused, a move only to the host that was the leader.
func (l *Loop) Explain(ctx context.Context, query decisions.Query) (DecisionsReport, error) {
	result, err := gather(ctx, l, func(ctx context.Context, peer membership.Peer) ([]decisions.Decision, error) {
		if peer.Host == l.options.Settings.Host.Name {
			return l.Decisions(ctx, query)
		}
		return l.pool.FetchDecisions(ctx, peer.Address, query)
	})
	if err != nil {
		return DecisionsReport{}, err
	}
	limit := decisions.MaxLimit
	if query.Limit > 0 {
		limit = min(limit, query.Limit)
	}
	return DecisionsReport{
		Decisions: decisions.Merge(limit, result.replies...),
		Hosts:     result.hosts,
		Missing:   result.missing,
	}, nil
}

// Decisions implements entryhost.Handler.
func (l *Loop) Decisions(_ context.Context, query decisions.Query) ([]decisions.Decision, error) {
	return l.options.Decisions.Find(query), nil
}

// recordMove adds a move to the decision log. This host is the leader, has written
// the move to the plan and is about to send its order.
func (c *control) recordMove(recorded *orders.RecordedMove) {
	move := &recorded.Move
	target := string(move.Weights.Model)
	if move.Weights.Adapter != "" {
		target = string(move.Weights.Adapter)
	}
	if move.Weights.Version != "" {
		target += " version " + string(move.Weights.Version)
	}
	reason := string(move.Reason)
	if move.For != "" {
		reason += ", for " + string(move.For)
	}
	if move.Benefit != 0 || move.Cost != 0 {
		reason += fmt.Sprintf(", worth %.2f of a replica's work at a cost of %.2f", move.Benefit, move.Cost)
	}
	c.options.Decisions.Add(decisions.Decision{
		Kind:           decisions.KindMove,
		At:             recorded.At,
		Team:           c.teamOf(move.Weights.Model),
		Order:          recorded.Order,
		Target:         target,
		Server:         move.Server,
		Code:           string(move.Kind),
		Message:        reason,
		ReadyReplicas:  move.Have,
		WantedReplicas: move.Want,
	})
}

// teamOf returns the team whose document declares a model, or "" when none does any more.
func (c *control) teamOf(model ident.ModelName) ident.TeamName {
	for team, doc := range c.documents.Snapshot().Documents {
		if _, found := doc.Model(model); found {
			return team
		}
	}
	return ""
}
