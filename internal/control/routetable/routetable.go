// Package routetable finds the route of a request: among the routes of its host,
// the one with the longest prefix that begins its path.
//
// A Table is made once for a configuration and never changes; many goroutines
// may look things up in it.
//
// # Usage
//
//	table := routetable.New(configuration)
//	found := table.Find("boats.example", "/dispatch/7")
//	if found == nil {
//		// 404
//	}
//	service := routetable.Share(found, dice)
package routetable

import (
	"sort"
	"strings"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/route"
)

// Table finds routes.
type Table struct {
	configuration *route.Configuration
	// byHost has each host's routes, the longest prefix first.
	byHost map[string][]*route.Route
}

// New makes the table of a configuration, which must not change any more.
func New(configuration *route.Configuration) *Table {
	table := &Table{
		configuration: configuration,
		byHost:        make(map[string][]*route.Route),
	}
	for i := range configuration.Routes {
		one := &configuration.Routes[i]
		host := strings.ToLower(one.Host)
		table.byHost[host] = append(table.byHost[host], one)
	}
	for _, routes := range table.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return table
}

// Configuration gives what the table was made from.
func (t *Table) Configuration() *route.Configuration {
	return t.configuration
}

// Find gives the route of a host and path, nil where there is none. A port in
// the host doesn't count.
func (t *Table) Find(host, path string) *route.Route {
	host = strings.ToLower(host)
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, one := range t.byHost[host] {
		if strings.HasPrefix(path, one.Prefix) {
			return one
		}
	}
	return nil
}

// Share picks one of a route's targets by weight, with random bits.
func Share(r *route.Route, dice uint64) ident.ServiceName {
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
	left := int(dice % uint64(total))
	for _, target := range r.Targets {
		if left -= max(target.Weight, 0); left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
