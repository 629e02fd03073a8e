// Package fleetshell queries the state of a fleet. It only reads, limits the time that it waits for each
// process, and reports a process that did not respond as such.
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

// Kinds of errors of the shell.
var (
	// ErrInvalidCall means that the query or the address of the seed is invalid.
	ErrInvalidCall = errs.Define("invalid call")
	// ErrNoFleet means that the seed does not respond, or knows no controller.
	ErrNoFleet = errs.Define("fleet unreachable")
)

// Query describes one query of the shell.
type Query struct {
	// Roles are the roles of the processes that respond to it; if empty, only the seed responds.
	Roles []string
	// Description says what the responses show.
	Description string
	// WireName is the name of the query on the wire; if empty, it is the same as in the shell.
	WireName string
}

// Aliases maps earlier names of queries, which are still accepted, to the current ones.
var Aliases = map[string]string{
	messages.QueryLeadership: "leadership",
	messages.QueryJobs:       "jobs",
	messages.QuerySlowness:   "slowness",
	"displacement":           "preemption",
}

// Queries contains the queries by name.
var Queries = map[string]Query{
	"nodes":       {nil, "the processes that the seed knows, and when each was last heard from", ""},
	"zones":       {[]string{membership.RoleController}, "how many processes each controller knows in each zone", ""},
	"config":      {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "the configuration generation that each process uses", ""},
	"workers":     {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "workers and their health, as each process sees them", ""},
	"leadership":  {[]string{membership.RoleController, membership.RoleStore}, "acceptors, leaders and epochs", messages.QueryLeadership},
	"jobs":        {[]string{membership.RoleStore}, "batch jobs and backlog, at the leader", messages.QueryJobs},
	"stores":      {[]string{membership.RoleStore}, "replicas and what they are missing", ""},
	"slowness":    {[]string{membership.RoleStore}, "whether a storage machine is slow at present, by its own measurement", messages.QuerySlowness},
	"index":       {[]string{membership.RoleGateway, membership.RoleStore}, "prefix index and residency downgrades", ""},
	"traffic":     {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "messages and bytes by kind, within the zone and to other zones", ""},
	"assignments": {[]string{membership.RoleGateway, membership.RoleController, membership.RoleStore}, "adapters in force on each node, and the next window", ""},
	"preemption":  {[]string{membership.RoleGateway, membership.RoleStore}, "preempted, resumed and finished work by route", "displacement"},
}

// QueryNames returns the names of the queries in alphabetical order.
func QueryNames() []string {
	var names []string
	for name := range Queries {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Response is the response of one process. TimedOut is set if the call to the process failed, for
// whatever reason; Status has no meaning then.
type Response struct {
	Process  string
	TimedOut bool
	Status   messages.StatusResponse
}

// Shell queries a fleet over a transport. Seed is the internal address (host:port) of any process of
// the fleet. Timeout limits the call to each process.
type Shell struct {
	Transport transport.Transport
	Seed      string
	Timeout   clock.Duration
}

// New returns a shell for the fleet of a seed. It returns ErrInvalidCall if the seed is not host:port.
func New(caller transport.Transport, seed string, timeout clock.Duration) (*Shell, error) {
	host, port, err := net.SplitHostPort(seed)
	if err != nil || host == "" || port == "" {
		return nil, ErrInvalidCall.New("seed " + seed + " is not an address of the form host:port")
	}
	return &Shell{Transport: caller, Seed: seed, Timeout: timeout}, nil
}

// Query sends a query, given by its name or an alias, to every process of the roles that respond to it.
// It returns ErrInvalidCall if there is no such query, and ErrNoFleet if the seed does not respond.
func (s *Shell) Query(query string) ([]Response, error) {
	if name, isAlias := Aliases[query]; isAlias {
		query = name
	}
	definition, found := Queries[query]
	if !found {
		return nil, ErrInvalidCall.New("unknown query " + query + "; known queries: " + strings.Join(QueryNames(), ", "))
	}
	nodes := &messages.StatusResponse{}
	err := transport.Call(s.Transport, s.Seed, messages.KindStatus, &messages.StatusRequest{Query: "nodes"}, nodes, s.Timeout)
	if err != nil {
		return nil, ErrNoFleet.Wrap(err, "seed "+s.Seed+" did not respond (the seed must be an internal address)")
	}
	if len(definition.Roles) == 0 {
		return translateRoles([]Response{{Process: "seed", Status: *nodes}}), nil
	}
	if definition.WireName != "" {
		query = definition.WireName
	}
	return translateRoles(s.queryZones(s.allProcesses(nodes), query, definition.Roles)), nil
}
