// Package routetable finds the route of a request: the one with the longest prefix of the
// request's path, among the routes of the request's host name.
//
// A Table is built once for a configuration and never changes; many goroutines may use it
// concurrently. The relay looks up each request in the table of the current configuration.
//
// # Usage
//
//	table := routetable.New(configuration)
//	found := table.Find("boats.example", "/dispatch/7")
//	if found == nil {
//		// 404
//	}
//	service := routetable.PickService(found, rand.Uint64())
package routetable

import (
	"sort"
	"strings"

	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// Table finds routes.
type Table struct {
	configuration *route.Configuration
	// routesByHost has the routes of each host name, the longest prefix first.
	routesByHost map[string][]*route.Route
	accounts     account.Directory
}

// New builds the table of a configuration, which must not change afterwards.
func New(configuration *route.Configuration) *Table {
	table := &Table{
		configuration: configuration,
		routesByHost:  make(map[string][]*route.Route),
		accounts:      account.NewDirectory(configuration.Accounts),
	}
	for i := range configuration.Routes {
		configured := &configuration.Routes[i]
		host := strings.ToLower(configured.Host)
		table.routesByHost[host] = append(table.routesByHost[host], configured)
	}
	for _, routes := range table.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// NewAfter builds the table of a configuration that replaces that of an earlier table, nil if
// there is none.
func NewAfter(earlier *Table, configuration *route.Configuration) *Table {
	table := New(configuration)
	if earlier != nil {
		table.accounts.Succeed(&earlier.accounts)
	}
	return table
}

// Configuration returns the configuration that the table was built from.
func (t *Table) Configuration() *route.Configuration {
	return t.configuration
}

// Accounts returns the client accounts of the configuration.
func (t *Table) Accounts() *account.Directory {
	return &t.accounts
}

// Find returns the route for a host name and path, or nil if there is none. A port in host is
// ignored.
func (t *Table) Find(host, path string) *route.Route {
	host = strings.ToLower(host)
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, candidate := range t.routesByHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate
		}
	}
	return nil
}

// PickService picks one of a route's targets by weight, with random bits, and returns its
// service: the first target's if no weight is positive, none if there are no targets.
func PickService(r *route.Route, random uint64) ident.ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	remaining := int(random % uint64(total))
	for _, target := range r.Targets {
		if remaining -= max(target.Weight, 0); remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
