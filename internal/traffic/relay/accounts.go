package relay

import (
	"context"
	"net/http"
	"time"

	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
)

const (
	// newerRoutesWait is how long a request that the configuration doesn't allow waits for a newer
	// one that does: the host asks its peers meanwhile.
	newerRoutesWait = 600 * time.Millisecond
	// unverifiedRetryAfter is when a client may retry where this host can't tell whether it has
	// missed a newer configuration.
	unverifiedRetryAfter = 500 * time.Millisecond
)

// denial is why the configuration doesn't allow a request.
type denial struct {
	status int
	reason string
	// mayEnd is whether a newer configuration is likely to allow the request: it has the route or
	// the key that this one lacks.
	mayEnd bool
	// isFinal is whether no newer configuration will allow it.
	isFinal bool
}

// findRoute finds the request's route and authenticates its client. It ends the request and
// returns nil if there is no route, or no account has the key and one is needed.
func (s *requestState) findRoute(table *routetable.Table) *routetable.Table {
	ctx, cancel := context.WithDeadline(s.ctx, s.arrived.Add(newerRoutesWait))
	defer cancel()
	for {
		denied := s.match(table)
		if denied == nil {
			return table
		}
		if denied.isFinal || !denied.mayEnd && s.handler.ControlPlane.HasCurrentRoutes() {
			s.deny(denied)
			return nil
		}
		newer, isCurrent := s.handler.ControlPlane.AwaitNewerRoutes(ctx, table)
		switch {
		case newer != table:
			table = newer
			continue
		case isCurrent:
			s.deny(denied)
		default:
			s.refuseUnverified(denied.reason)
		}
		return nil
	}
}

// match finds the request's route in a table, and its client's account. It returns why the table
// doesn't allow the request, nil if it does.
func (s *requestState) match(table *routetable.Table) *denial {
	if s.route = table.Find(s.request.Host, s.request.Path); s.route == nil {
		return &denial{
			status: http.StatusNotFound,
			reason: "no route",
			mayEnd: true,
		}
	}
	if s.authenticate(table) {
		return nil
	}
	denied := &denial{
		status: http.StatusUnauthorized,
	}
	switch {
	case s.request.Key == "":
		denied.reason = "no key, or more than one"
	case table.Accounts().WasRemoved(s.request.Key):
		denied.reason, denied.isFinal = "the key was removed", true
	default:
		denied.reason, denied.mayEnd = "the key is not known", true
	}
	return denied
}

// deny ends a request that the configuration doesn't allow.
func (s *requestState) deny(denied *denial) {
	if denied.status == http.StatusUnauthorized {
		s.refuseKey(denied.reason)
		return
	}
	s.fail(denied.status, denied.reason)
}

// refuseUnverified ends a request that the configuration doesn't allow, if that may not be in force.
func (s *requestState) refuseUnverified(reason string) {
	s.refuse(unverifiedRetryAfter, "can't be verified now: "+reason)
}

// authenticate finds the client's account by its key. It reports whether the configuration
// allows the request.
func (s *requestState) authenticate(table *routetable.Table) bool {
	accounts := table.Accounts()
	s.hidesKey = !accounts.IsEmpty()
	if !s.hidesKey {
		return true
	}
	s.account = accounts.Find(s.request.Key)
	return s.account != nil || s.route.Anonymous
}

// hasLostKey reports whether the client's key has been removed since the request arrived.
// An answer that has started is completed all the same.
func (s *requestState) hasLostKey(ctx context.Context) bool {
	if s.account == nil || s.stream.started {
		return false
	}
	table := s.handler.ControlPlane.AwaitRoutes(ctx)
	if table == nil || table == s.routes {
		return false
	}
	return !table.Accounts().IsEmpty() && table.Accounts().Find(s.request.Key) == nil
}

// priorityInAccount ranks a request among those of its account: they are all alike if the
// account has a priority.
func (s *requestState) priorityInAccount() int {
	if s.account.HasPriority {
		return 0
	}
	return s.route.Priority
}

// admit asks for the request's part of its account's limit. It ends the request and returns
// false if the account is over its limit.
func (s *requestState) admit() bool {
	if s.account == nil || !s.account.Limit.IsSet() {
		return true
	}
	ctx, cancel := s.withDeadline(s.deadline)
	defer cancel()
	s.grant = s.handler.ControlPlane.Admit(ctx, s.account.Name, s.account.Limit.Cost(s.request.Tokens()), s.priorityInAccount())
	switch {
	case s.grant.Granted:
		return true
	case ctx.Err() != nil:
		s.endCancelled()
	default:
		s.refuseOverLimit()
	}
	return false
}

const (
	// minLimitRetryAfter is the least time after which a client of an account over its limit
	// may retry: what the account gains until then is wanted by others too.
	minLimitRetryAfter = 300 * time.Millisecond
	// maxRetryAfterShare bounds the time by the client's own deadline: a client that is told
	// to come back later than that doesn't.
	maxRetryAfterShare = 0.3
)

// refuseOverLimit ends a request that its account's limit doesn't allow. The random spread
// keeps clients that were refused together from returning together.
func (s *requestState) refuseOverLimit() {
	spread := float64(s.handler.Random()%1024) / 1024
	retryAfter := time.Duration(float64(max(s.grant.RetryAfter, minLimitRetryAfter)) * (1 + spread))
	if !s.deadline.IsZero() {
		remaining := s.deadline.Sub(s.handler.Now())
		retryAfter = min(retryAfter, time.Duration(maxRetryAfterShare*float64(remaining)))
	}
	status := http.StatusTooManyRequests
	if !s.handler.ControlPlane.HasCurrentRoutes() {
		status = http.StatusServiceUnavailable // a newer configuration may have raised the limit
	}
	s.refuseWith(status, max(retryAfter, 0), "the account is over its limit")
}

// refundUnused gives back what a request was granted that provably did not run.
func (s *requestState) refundUnused() {
	if s.grant.Granted && s.history.Outcome().IsNotRun() {
		s.handler.ControlPlane.Refund(s.grant)
	}
}

// endWithoutKey ends a request whose client's key was removed before it was sent, or before
// it was sent again.
func (s *requestState) endWithoutKey() {
	if s.history.Outcome().IsNotRun() {
		s.refuseKey("the key is not known any more")
		return
	}
	s.abandon("the key is not known any more")
}

// refuseKey ends a request whose client isn't authenticated.
func (s *requestState) refuseKey(reason string) {
	s.writer.Header().Set("WWW-Authenticate", "Bearer")
	s.fail(http.StatusUnauthorized, reason)
}

// urgency ranks a request among others: the account's priority goes before the route's,
// which decides between requests of the same rank.
func (s *requestState) urgency() int {
	return s.priority()*priorityLevels + clampPriority(s.route.Priority)
}

// priorityLevels is the number of priorities that are told apart.
const priorityLevels = 10

// priority is the account's priority or, if it has none, the route's.
func (s *requestState) priority() int {
	if s.account != nil && s.account.HasPriority {
		return clampPriority(s.account.Priority)
	}
	return clampPriority(s.route.Priority)
}

func clampPriority(priority int) int {
	return min(max(priority, 0), priorityLevels-1)
}

// accountName is the name of the client's account, empty if it has none.
func accountName(a *account.Account) ident.AccountName {
	if a == nil {
		return ""
	}
	return a.Name
}
