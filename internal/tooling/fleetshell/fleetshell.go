// Package fleetshell asks a fleet for its state: it reads only, gives each process a
// bounded time, and shows silence as silence.
package fleetshell

import (
	"net"
	"sort"
	"strings"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// The errors of the shell.
var (
	// ErrInvalidCall means that the question itself is wrong.
	ErrInvalidCall = errs.Define("bad call")
	// ErrNoFleet means that the seed does not answer.
	ErrNoFleet = errs.Define("no fleet")
)

// Query is one query of the shell.
type Query struct {
	// Roles are the roles of the processes that answer it; none means the seed alone.
	Roles []string
	// Shows says what the answers show.
	Description string
	// Wire is its name on the wire, where that is another one.
	WireName string
}

// Aliases are the earlier names of queries, which go on working.
var Aliases = map[string]string{
	messages.QueryLeadership: "leadership",
	messages.QueryJobs:       "jobs",
	messages.QuerySlowness:   "slowness",
	"displacement":           "preemption",
}

// Queries are the queries by name.
var Queries = map[string]Query{
	"nodes":       {nil, "the processes that the seed knows, and when each was heard", ""},
	"zones":       {[]string{membership.RoleController}, "how many processes each controller knows in each zone", ""},
	"config":      {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "the generation that each process follows", ""},
	"workers":     {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "workers and their health, as each process sees them", ""},
	"leadership":  {[]string{membership.RoleController, membership.RoleStore}, "acceptors, leaders and epochs", messages.QueryLeadership},
	"jobs":        {[]string{membership.RoleStore}, "batch jobs and backlog, at the leader", messages.QueryJobs},
	"stores":      {[]string{membership.RoleStore}, "copies and what is missing of them", ""},
	"slowness":    {[]string{membership.RoleStore}, "whether a storage machine is slow now, by its own measure", messages.QuerySlowness},
	"index":       {[]string{membership.RoleGateway, membership.RoleStore}, "prefix index and residency downgrades", ""},
	"traffic":     {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "messages and bytes by kind, in the own zone and to others", ""},
	"assignments": {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "adapters that each node has in force, and the window that comes next", ""},
	"preemption":  {[]string{membership.RoleGateway, membership.RoleStore}, "preempted, resumed and finished work by route", "displacement"},
}

// QueryNames lists the queries in order.
func QueryNames() []string {
	var names []string
	for name := range Queries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Response is what one process said.
type Response struct {
	Process  string
	TimedOut bool
	Status   messages.StatusResponse
}

// Shell asks over a transport.
type Shell struct {
	Transport transport.Transport
	Seed      string
	Timeout   clock.Duration
}

// New checks the address of the seed.
func New(carrier transport.Transport, seed string, limit clock.Duration) (*Shell, error) {
	host, port, err := net.SplitHostPort(seed)
	if err != nil || host == "" || port == "" {
		return nil, ErrInvalidCall.New("seed " + seed + " is no address of the form host:port")
	}
	return &Shell{Transport: carrier, Seed: seed, Timeout: limit}, nil
}

// Query puts one query to every process that answers it.
func (s *Shell) Query(query string) ([]Response, error) {
	if name, isAlias := Aliases[query]; isAlias {
		query = name
	}
	definition, found := Queries[query]
	if !found {
		return nil, ErrInvalidCall.New("unknown query " + query + "; there are: " + strings.Join(QueryNames(), ", "))
	}
	nodes := &messages.StatusResponse{}
	err := transport.Call(s.Transport, s.Seed, messages.KindStatus, &messages.StatusRequest{Query: "nodes"}, nodes, s.Timeout)
	if err != nil {
		return nil, ErrNoFleet.Wrap(err, "seed "+s.Seed+" does not answer (its internal address is needed)")
	}
	if len(definition.Roles) == 0 {
		return translateRoles([]Response{{Process: "seed", Status: *nodes}}), nil
	}
	if definition.WireName != "" {
		query = definition.WireName
	}
	return translateRoles(s.queryZones(s.allProcesses(nodes), query, definition.Roles)), nil
}
