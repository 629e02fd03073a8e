// Package loupe asks a fleet for its state: it reads only, gives each process a
// bounded time, and shows silence as silence.
package loupe

import (
	"net"
	"sort"
	"strings"

	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// The mishaps of the shell.
var (
	// BadCall means that the question itself is wrong.
	BadCall = mishap.Define("bad call")
	// NoFleet means that the seed does not answer.
	NoFleet = mishap.Define("no fleet")
)

// Queries names each query with the roles that answer it and what it shows.
var Queries = map[string]struct {
	Roles []string
	Shows string
}{
	"nodes":        {nil, "the processes that the seed knows, and when each was heard"},
	"halls":        {[]string{"foreman"}, "how many processes each foreman knows in each hall"},
	"config":       {[]string{"forge", "foreman", "locker"}, "the generation that each process follows"},
	"workers":      {[]string{"forge", "foreman", "locker"}, "workers and their vitals, as each process sees them"},
	"duty":         {[]string{"foreman", "locker"}, "acceptors, holders and epochs"},
	"lots":         {[]string{"locker"}, "lots and backlog, at the holder"},
	"stores":       {[]string{"locker"}, "copies and what is missing of them"},
	"pace":         {[]string{"locker"}, "whether a storage machine is slow now, by its own measure"},
	"index":        {[]string{"forge", "locker"}, "prefix index and residency downgrades"},
	"traffic":      {[]string{"forge", "foreman", "locker"}, "messages and bytes by kind, in the own hall and to others"},
	"assignments":  {[]string{"forge", "foreman", "locker"}, "adapters that each node has in force, and the window that comes next"},
	"displacement": {[]string{"forge", "locker"}, "displaced, resumed and finished work by route"},
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

// Answer is what one process said.
type Answer struct {
	Process string
	Silent  bool
	Status  pattern.Status
}

// Loupe asks over a transport.
type Loupe struct {
	Transport tongs.Transport
	Seed      string
	Limit     watch.Span
}

// New checks the address of the seed.
func New(transport tongs.Transport, seed string, limit watch.Span) (*Loupe, error) {
	host, port, failure := net.SplitHostPort(seed)
	if failure != nil || host == "" || port == "" {
		return nil, BadCall.New("seed " + seed + " is no address of the form host:port")
	}
	return &Loupe{Transport: transport, Seed: seed, Limit: limit}, nil
}

// Ask puts one query to every process that answers it.
func (loupe *Loupe) Ask(query string) ([]Answer, error) {
	known, found := Queries[query]
	if !found {
		return nil, BadCall.New("unknown query " + query + "; there are: " + strings.Join(QueryNames(), ", "))
	}
	seen := &pattern.Status{}
	failure := tongs.Ask(loupe.Transport, loupe.Seed, pattern.KindStatus, &pattern.StatusAsk{Query: "nodes"}, seen, loupe.Limit)
	if failure != nil {
		return nil, NoFleet.Wrap(failure, "seed "+loupe.Seed+" does not answer (its internal address is needed)")
	}
	if len(known.Roles) == 0 {
		return []Answer{{Process: "seed", Status: *seen}}, nil
	}
	return loupe.askHalls(loupe.fleet(seen), query, known.Roles), nil
}
