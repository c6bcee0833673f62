package gatewaypeer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/gatewaypeerpb"
)

func (s *service) Acquire(ctx context.Context, wire *gatewaypeerpb.QuotaAsk) (*gatewaypeerpb.QuotaAnswer, error) {
	answer := s.handler.Acquire(ctx, decodeQuotaAsk(wire))
	return &gatewaypeerpb.QuotaAnswer{
		Granted:  answer.Granted,
		Ahead:    float64(answer.Ahead),
		NotReady: answer.NotReady,
		Wait:     int64(answer.Wait),
	}, nil
}

func (s *service) LendQuota(_ context.Context, wire *gatewaypeerpb.QuotaNeed) (*gatewaypeerpb.QuotaLoan, error) {
	amount, wait := s.handler.LendQuota(ident.AccountName(wire.GetAccount()), account.Amount(wire.GetAmount()))
	return &gatewaypeerpb.QuotaLoan{
		Amount: float64(amount),
		Wait:   int64(wait),
	}, nil
}

// Acquire asks the quota pool at an address for a part of an account's limit.
func (p *Pool) Acquire(ctx context.Context, address string, ask quota.Ask) (quota.Answer, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return quota.Answer{}, err
	}
	wire, err := gatewaypeerpb.NewPeerClient(connection).Acquire(ctx, encodeQuotaAsk(&ask))
	if err != nil {
		return quota.Answer{}, errors.Wrapf(err, "ask the quota pool at %s", address)
	}
	return quota.Answer{
		Granted:  wire.GetGranted(),
		Ahead:    account.Amount(wire.GetAhead()),
		NotReady: wire.GetNotReady(),
		Wait:     time.Duration(wire.GetWait()),
	}, nil
}

// IsUnreached reports whether a call failed since no process answers at the address.
func IsUnreached(err error) bool {
	return err != nil && status.Code(errors.Cause(err)) == codes.Unavailable
}

// LendQuota asks the quota pool at an address to lend an amount to this host's pool.
func (p *Pool) LendQuota(ctx context.Context, address string, name ident.AccountName, amount account.Amount) (account.Amount, time.Duration, error) {
	connection, err := p.Connection(address)
	if err != nil {
		return 0, 0, err
	}
	wire, err := gatewaypeerpb.NewPeerClient(connection).LendQuota(ctx, &gatewaypeerpb.QuotaNeed{
		Account: string(name),
		Amount:  float64(amount),
	})
	if err != nil {
		return 0, 0, errors.Wrapf(err, "borrow from the quota pool at %s", address)
	}
	return account.Amount(wire.GetAmount()), time.Duration(wire.GetWait()), nil
}

func encodeQuotaAsk(ask *quota.Ask) *gatewaypeerpb.QuotaAsk {
	wire := &gatewaypeerpb.QuotaAsk{
		Host:     string(ask.Host),
		Account:  string(ask.Account),
		Cost:     float64(ask.Cost),
		Ahead:    float64(ask.Ahead),
		Priority: int64(ask.Priority),
		Idle:     int64(ask.Idle),
	}
	for _, refund := range ask.Returned {
		wire.Returned = append(wire.Returned, &gatewaypeerpb.QuotaRefund{
			Account: string(refund.Account),
			Amount:  float64(refund.Amount),
		})
	}
	return wire
}

func decodeQuotaAsk(wire *gatewaypeerpb.QuotaAsk) quota.Ask {
	ask := quota.Ask{
		Host:     ident.HostID(wire.GetHost()),
		Account:  ident.AccountName(wire.GetAccount()),
		Cost:     account.Amount(wire.GetCost()),
		Ahead:    account.Amount(wire.GetAhead()),
		Priority: int(wire.GetPriority()),
		Idle:     time.Duration(wire.GetIdle()),
	}
	for _, refund := range wire.GetReturned() {
		ask.Returned = append(ask.Returned, quota.Refund{
			Account: ident.AccountName(refund.GetAccount()),
			Amount:  account.Amount(refund.GetAmount()),
		})
	}
	return ask
}
