package retries

import (
	"time"

	"cicadaloom/internal/domain/ident"
)

// In a large fleet a host's own share is a few retries in a window, and failing servers hit all
// hosts at random: one has spent its share when others have all of theirs left. So hosts
// transfer the tokens that they can spare to a nearby host, the lender, which lends them one by
// one to hosts that need them.
//
// A transferred token counts as spent at its host from the instant of the transfer. The lender
// lends no more tokens in any window than it has received in it. So the sum over all hosts
// stays the same, and a transfer or loan that is lost only reduces it.

// maxOwnReserve is the number of tokens, at most, that a host keeps for itself, because a loan
// takes a message to the lender and back. A host with few tokens keeps no more than half: in a
// large fleet none has more than one or two, and nothing would be lent.
const maxOwnReserve = 2

// Transfer is a number of tokens that a host transfers to the lender.
type Transfer struct {
	Service ident.ServiceName
	Tokens  int
}

// TakeSurplus takes the tokens that this host can spare out of its budget, for transfer to the
// lender.
func (b *Budget) TakeSurplus(now time.Time) []Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var transfers []Transfer
	for service := range b.services {
		c := b.countsAt(now, service)
		remaining := b.remaining(now, c)
		surplus := int(remaining) - min(int(remaining/2), maxOwnReserve)
		if surplus <= 0 {
			continue
		}
		c.spent[c.newest%bucketsPerWindow] += surplus
		transfers = append(transfers, Transfer{
			Service: service,
			Tokens:  surplus,
		})
	}
	return transfers
}

// Receive adds the tokens that another host has transferred.
func (b *Budget) Receive(now time.Time, transfers []Transfer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, transfer := range transfers {
		c := b.countsAt(now, transfer.Service)
		c.received[c.newest%bucketsPerWindow] += max(transfer.Tokens, 0)
	}
}

// Lend lends one of the received tokens, and returns whether one was left.
func (b *Budget) Lend(now time.Time, service ident.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(now, service)
	if c.lent.sum() >= c.received.sum() {
		return false
	}
	c.lent[c.newest%bucketsPerWindow]++
	return true
}
