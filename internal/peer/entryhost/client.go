package entryhost

import (
	"context"

	"github.com/pkg/errors"

	"cicadaloom/internal/control/claims"
	"cicadaloom/internal/control/demand"
	"cicadaloom/internal/peer/grpcpeer"
	"cicadaloom/internal/wire/entryhostpb"
)

// Pool calls the entry host service of peers, with one connection to each peer. The
// zero value is ready to use; it is safe for concurrent use.
type Pool struct {
	grpcpeer.Pool
}

// Client returns a client of the entry host at an address ("ip:port").
func (p *Pool) Client(address string) (entryhostpb.EntryHostClient, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return nil, err
	}
	return entryhostpb.NewEntryHostClient(connection), nil
}

// Exchange sends this host's message to a peer and returns the peer's.
func (p *Pool) Exchange(ctx context.Context, address string, message Message) (Message, error) {
	client, err := p.Client(address)
	if err != nil {
		return Message{}, err
	}
	answer, err := client.Exchange(ctx, encodeMessage(message))
	if err != nil {
		return Message{}, errors.Wrapf(err, "exchange with %s", address)
	}
	return decodeMessage(answer), nil
}

// FetchBurnCounts fetches a peer's own request counts.
func (p *Pool) FetchBurnCounts(ctx context.Context, address string) (BurnCounts, error) {
	client, err := p.Client(address)
	if err != nil {
		return BurnCounts{}, err
	}
	answer, err := client.Burn(ctx, &entryhostpb.BurnRequest{})
	if err != nil {
		return BurnCounts{}, errors.Wrapf(err, "counts of %s", address)
	}
	return decodeCounts(answer), nil
}

// SendDemand sends the request rates of this host to the leader of the placement.
func (p *Pool) SendDemand(ctx context.Context, address string, rates demand.HostRates) error {
	client, err := p.Client(address)
	if err != nil {
		return err
	}
	_, err = client.Demand(ctx, encodeDemand(rates))
	return errors.Wrapf(err, "demand to %s", address)
}

// Claim sends a claim to the owner of its partition and returns the owner's answer.
func (p *Pool) Claim(ctx context.Context, address string, claim claims.Claim) (claims.Answer, error) {
	client, err := p.Client(address)
	if err != nil {
		return claims.Answer{}, err
	}
	answer, err := client.Claim(ctx, encodeClaim(claim))
	if err != nil {
		return claims.Answer{}, errors.Wrapf(err, "claim at %s", address)
	}
	return decodeAnswer(claim, answer), nil
}

// Finish reports to the owner of the partition that the claimed request was run. The
// result says whether the owner recorded it.
func (p *Pool) Finish(ctx context.Context, address string, finish claims.Finish) (bool, error) {
	client, err := p.Client(address)
	if err != nil {
		return false, err
	}
	answer, err := client.Finish(ctx, encodeFinish(finish))
	if err != nil {
		return false, errors.Wrapf(err, "finish at %s", address)
	}
	return answer.GetRecorded(), nil
}

// Release reports to the owner of the partition that the claimed request was provably
// not run. The result says whether the owner recorded it.
func (p *Pool) Release(ctx context.Context, address string, release claims.Release) (bool, error) {
	client, err := p.Client(address)
	if err != nil {
		return false, err
	}
	answer, err := client.Release(ctx, encodeRelease(release))
	if err != nil {
		return false, errors.Wrapf(err, "release at %s", address)
	}
	return answer.GetRecorded(), nil
}
