package quota

import (
	"sync"
	"time"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
)

// Client is one host's side of the pool that it is a member of. The zero value grants request
// by request.
type Client struct {
	// GrantsAhead makes the host ask for tokens ahead of demand, and admit requests from them
	// without asking.
	GrantsAhead bool
	mu          sync.Mutex
	// pool is the address of the pool that the rest belongs to.
	pool     string
	accounts map[ident.AccountName]*clientAccount
	returned []Refund
}

// clientAccount is the use of one account at this host.
type clientAccount struct {
	stock    account.Amount
	lapsesAt time.Time
	// pace is the smoothed amount that is asked for in stockTTL, until pacedAt.
	pace    account.Amount
	pacedAt time.Time
}

// Spend takes the cost of a request from the tokens granted ahead by the pool. It reports
// false if there are not enough: the pool has to be asked.
func (c *Client) Spend(now time.Time, pool string, name ident.AccountName, cost account.Amount) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(pool)
	own := c.account(name)
	own.count(now, cost)
	if now.After(own.lapsesAt) || own.stock < cost {
		return false
	}
	own.stock -= cost
	return true
}

// NewAsk completes the ask for a request by what is to be given back, and by what the host
// would like to have ahead.
func (c *Client) NewAsk(now time.Time, pool string, ask Ask) Ask {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use(pool)
	c.returnLapsed(now)
	ask.Returned = c.returned
	c.returned = nil
	if c.GrantsAhead && ask.Account != "" {
		ask.Ahead = c.account(ask.Account).ahead(ask.Cost)
	}
	return ask
}

// Apply takes what a pool has granted ahead.
func (c *Client) Apply(now time.Time, pool string, name ident.AccountName, answer *Answer) {
	if answer.Ahead <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool != c.pool {
		return
	}
	own := c.account(name)
	own.stock += answer.Ahead
	own.lapsesAt = now.Add(stockTTL)
}

// Refund gives back the cost of a request that did not run, if the pool that granted it is
// still the host's pool.
func (c *Client) Refund(grant Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if grant.Pool != c.pool || len(c.returned) >= maxReturned {
		return
	}
	c.returned = append(c.returned, Refund{
		Account: grant.Account,
		Amount:  grant.Amount,
	})
}

// maxReturned bounds the refunds that wait for the next ask.
const maxReturned = 256

// use makes pool the pool that the host's tokens come from. Those of another pool lapse: the
// shares that they were granted from belong to the new one now.
func (c *Client) use(pool string) {
	if c.pool == pool && c.accounts != nil {
		return
	}
	c.pool = pool
	c.returned = nil
	c.accounts = make(map[ident.AccountName]*clientAccount)
}

// returnLapsed gives back the tokens that were granted ahead and not spent in time.
func (c *Client) returnLapsed(now time.Time) {
	for name, own := range c.accounts {
		if own.stock > 0 && now.After(own.lapsesAt) {
			c.returned = append(c.returned, Refund{
				Account: name,
				Amount:  own.stock,
			})
			own.stock = 0
		}
	}
}

func (c *Client) account(name ident.AccountName) *clientAccount {
	own, known := c.accounts[name]
	if !known {
		own = &clientAccount{}
		c.accounts[name] = own
	}
	return own
}

// count adds a request to the account's pace.
func (a *clientAccount) count(now time.Time, cost account.Amount) {
	if elapsed := now.Sub(a.pacedAt); elapsed >= paceWindow {
		a.pace = 0
	} else {
		a.pace *= 1 - account.Amount(elapsed)/account.Amount(paceWindow)
	}
	a.pacedAt = now
	a.pace += cost * account.Amount(stockTTL) / account.Amount(paceWindow)
}

// ahead returns what to ask for on top of a request's cost: nothing if the tokens would
// probably lapse before the next request, otherwise enough for a request like this one.
func (a *clientAccount) ahead(cost account.Amount) account.Amount {
	if a.pace < 2*cost {
		return 0
	}
	return a.pace
}

// paceWindow is the time over which an account's pace is measured.
const paceWindow = 2 * time.Second
