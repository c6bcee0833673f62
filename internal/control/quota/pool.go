package quota

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
)

// Pool grants the tokens of the hosts that ask it. Its buckets begin empty: a pool that has
// just started doesn't know what was used before.
type Pool struct {
	settings  Settings
	startedAt time.Time
	mu        sync.Mutex
	// hosts is the number of known hosts, 0 while it isn't known.
	hosts    int
	members  map[ident.HostID]time.Time // until when each host counts
	accounts map[ident.AccountName]*bucket
}

// bucket is the token bucket of one account.
type bucket struct {
	limit   account.Limit
	balance account.Amount
	// filledAt is when the balance was last brought up to date.
	filledAt time.Time
}

// NewPool returns a pool without accounts or members that starts now.
func NewPool(now time.Time, settings Settings) *Pool {
	return &Pool{
		settings:  settings,
		startedAt: now,
		members:   make(map[ident.HostID]time.Time),
		accounts:  make(map[ident.AccountName]*bucket),
	}
}

// SetHosts sets the number of hosts among which the limits are shared. Nothing is granted
// before it is known.
func (p *Pool) SetHosts(hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = hosts
}

// SetAccounts sets the accounts and their limits. The use of accounts that remain is kept.
func (p *Pool) SetAccounts(now time.Time, accounts []account.Account) {
	p.mu.Lock()
	defer p.mu.Unlock()
	share := p.share(now)
	buckets := make(map[ident.AccountName]*bucket, len(accounts))
	for i := range accounts {
		if !accounts[i].Limit.IsSet() {
			continue
		}
		b, known := p.accounts[accounts[i].Name]
		if !known {
			b = &bucket{
				filledAt: now,
			}
		}
		p.fill(now, share, b)
		b.limit = accounts[i].Limit
		buckets[accounts[i].Name] = b
	}
	p.accounts = buckets
}

// HasLimits reports whether any account has a limit.
func (p *Pool) HasLimits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts) > 0
}

// Acquire answers a host's ask, and counts the host as a member.
func (p *Pool) Acquire(now time.Time, ask Ask) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == 0 {
		return Answer{
			NotReady: true,
		}
	}
	share := p.join(now, ask.Host, ask.Idle)
	for _, refund := range ask.Returned {
		if b, known := p.accounts[refund.Account]; known {
			p.fill(now, share, b)
			b.balance = min(b.balance+refund.Amount, p.capacity(share, b))
		}
	}
	b, known := p.accounts[ask.Account]
	if !known {
		// The account is new, or has no limit any more: this host's configuration differs
		// from the asking host's for a moment.
		return Answer{
			Granted: true,
		}
	}
	p.fill(now, share, b)
	return p.take(share, b, &ask)
}

// join counts a host as a member, and returns the share of all members. Its own counts from now on, and what the share would have
// gained while it counted nowhere is added. Without the first a pool to which many hosts move
// at once would grant a burst on top of what their former pool has granted; without the second
// a fleet that has lost all hosts would refuse what its clients send again when it is back.
func (p *Pool) join(now time.Time, host ident.HostID, idle time.Duration) float64 {
	before := p.share(now)
	_, isMember := p.members[host]
	p.members[host] = now.Add(memberTTL)
	if isMember {
		return before
	}
	for _, b := range p.accounts {
		p.fill(now, before, b)
	}
	share := p.share(now)
	unused := p.unusedTime(now, idle)
	for _, b := range p.accounts {
		gained := b.limit.Rate * account.Amount(unused.Seconds()) / account.Amount(p.hosts)
		b.balance = min(b.balance+gained, p.capacity(share, b))
	}
	return share
}

// unusedTime is for how long the share of a host has counted nowhere. An older pool may have
// counted it for memberTTL after the host's last ask, or after its former process ended. Where
// this pool has just started itself, the hosts of its region have lost their pool before.
func (p *Pool) unusedTime(now time.Time, idle time.Duration) time.Duration {
	if now.Sub(p.startedAt) >= startTime {
		idle -= memberTTL
	}
	return min(max(idle, 0), maxIdle)
}

// maxIdle bounds the time for which an idle share is credited.
const maxIdle = 2 * time.Second

// Lend takes an amount out of a bucket for a request at another pool, if the bucket has it.
// If not, it returns when it is expected to.
func (p *Pool) Lend(now time.Time, name ident.AccountName, amount account.Amount) (account.Amount, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, known := p.accounts[name]
	if !known {
		return 0, maxWait
	}
	share := p.share(now)
	p.fill(now, share, b)
	if b.balance < amount {
		return 0, p.timeUntil(share, b, amount)
	}
	b.balance -= amount
	return amount, 0
}

// take takes the cost of a request out of a bucket, and what is to be granted ahead.
func (p *Pool) take(share float64, b *bucket, ask *Ask) Answer {
	capacity := p.capacity(share, b)
	reserve := capacity * account.Amount(reservePerPriority*float64(min(max(ask.Priority, 0), maxReserveSteps)))
	needed := min(ask.Cost+reserve, capacity)
	if ask.Cost > capacity && share < minDebtShare {
		needed = ask.Cost
	}
	if b.balance < needed {
		return Answer{
			Wait: p.timeUntil(share, b, needed),
		}
	}
	ahead := p.ahead(b, capacity, ask)
	b.balance -= ask.Cost + ahead
	return Answer{
		Granted: true,
		Ahead:   ahead,
	}
}

// minDebtShare is the share of all hosts from which on a pool grants a request that is larger
// than its bucket once the bucket is full, and goes into debt for it: no host could ever
// serve such a request otherwise. Pools of fewer hosts may not, since their debts would add
// up.
const minDebtShare = 0.2

// ahead returns what to grant ahead of demand: a part of what is in the upper half of the
// bucket, so that an account near its limit is counted request by request.
func (p *Pool) ahead(b *bucket, capacity account.Amount, ask *Ask) account.Amount {
	spare := b.balance - ask.Cost - capacity/2
	return max(min(ask.Ahead, spare/account.Amount(len(p.members))), 0)
}

// fill adds what a bucket has gained, with a share of all limits, since it was last filled.
func (p *Pool) fill(now time.Time, share float64, b *bucket) {
	elapsed := now.Sub(b.filledAt)
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	b.balance += p.rate(share, b) * account.Amount(elapsed.Seconds())
	b.balance = min(b.balance, p.capacity(share, b))
}

// rate is what a bucket gains a second: a little more than its share of the limit, so that
// what the limit allows isn't refused where requests come in another order than they were
// sent.
func (p *Pool) rate(share float64, b *bucket) account.Amount {
	return b.limit.Rate * account.Amount((1+p.settings.Overshoot/2)*share)
}

func (p *Pool) capacity(share float64, b *bucket) account.Amount {
	return p.settings.capacity(&b.limit) * account.Amount(share)
}

// share removes the members whose time is over, and returns the part of all limits that
// belongs to the others. It visits all members, and is called once or twice an ask.
func (p *Pool) share(now time.Time) float64 {
	for host, until := range p.members {
		if now.After(until) {
			delete(p.members, host)
		}
	}
	if p.hosts <= 0 {
		return 0
	}
	return min(float64(len(p.members))/float64(p.hosts), 1)
}

// timeUntil returns when a bucket is expected to have an amount.
func (p *Pool) timeUntil(share float64, b *bucket, amount account.Amount) time.Duration {
	rate := p.rate(share, b)
	if rate <= 0 {
		return maxWait
	}
	missing := max(amount-b.balance, 0)
	return min(time.Duration(float64(missing)/float64(rate)*float64(time.Second)), maxWait)
}
