package entryhost

import (
	"context"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/entryhostpb"
)

// FetchDecisions fetches what a peer itself decided. The peer does not check who asks:
// the caller must have checked it and limited the query to what that person may see.
func (p *Pool) FetchDecisions(ctx context.Context, address string, query decisions.Query) ([]decisions.Decision, error) {
	client, err := p.Client(address)
	if err != nil {
		return nil, err
	}
	answer, err := client.Decisions(ctx, encodeQuery(query))
	if err != nil {
		return nil, errors.Wrapf(err, "decisions of %s", address)
	}
	return decodeDecisions(answer), nil
}

func (s *service) Decisions(ctx context.Context, request *entryhostpb.DecisionsRequest) (*entryhostpb.DecisionsResponse, error) {
	found, err := s.handler.Decisions(ctx, decodeQuery(request))
	if err != nil {
		return nil, err
	}
	return encodeDecisions(found), nil
}

func encodeQuery(query decisions.Query) *entryhostpb.DecisionsRequest {
	return &entryhostpb.DecisionsRequest{
		Id:       query.ID,
		Team:     string(query.Team),
		AllTeams: query.AllTeams,
		Limit:    int32(query.Limit),
	}
}

func decodeQuery(wire *entryhostpb.DecisionsRequest) decisions.Query {
	return decisions.Query{
		ID:       wire.GetId(),
		Team:     ident.TeamName(wire.GetTeam()),
		AllTeams: wire.GetAllTeams(),
		Limit:    int(wire.GetLimit()),
	}
}

func encodeDecisions(found []decisions.Decision) *entryhostpb.DecisionsResponse {
	wire := &entryhostpb.DecisionsResponse{}
	for i := range found {
		d := &found[i]
		wire.Decisions = append(wire.Decisions, &entryhostpb.Decision{
			Kind:            string(d.Kind),
			AtUnixNano:      unixNano(d.At),
			Host:            string(d.Host),
			Team:            string(d.Team),
			Request:         string(d.Request),
			Attempt:         string(d.Attempt),
			Order:           string(d.Order),
			Target:          d.Target,
			Class:           string(d.Class),
			Server:          string(d.Server),
			Code:            d.Code,
			Run:             d.Run,
			Message:         d.Message,
			RetryAtUnixNano: unixNano(d.RetryAt),
			Have:            int32(d.ReadyReplicas),
			Want:            int32(d.WantedReplicas),
		})
	}
	return wire
}

func decodeDecisions(wire *entryhostpb.DecisionsResponse) []decisions.Decision {
	var found []decisions.Decision
	for _, d := range wire.GetDecisions() {
		found = append(found, decisions.Decision{
			Kind:           decisions.Kind(d.GetKind()),
			At:             timeFromUnixNano(d.GetAtUnixNano()),
			Host:           ident.HostID(d.GetHost()),
			Team:           ident.TeamName(d.GetTeam()),
			Request:        ident.RequestID(d.GetRequest()),
			Attempt:        ident.AttemptID(d.GetAttempt()),
			Order:          ident.OrderID(d.GetOrder()),
			Target:         d.GetTarget(),
			Class:          ident.ClassName(d.GetClass()),
			Server:         ident.ServerName(d.GetServer()),
			Code:           d.GetCode(),
			Run:            d.GetRun(),
			Message:        d.GetMessage(),
			RetryAt:        timeFromUnixNano(d.GetRetryAtUnixNano()),
			ReadyReplicas:  int(d.GetHave()),
			WantedReplicas: int(d.GetWant()),
		})
	}
	return found
}
