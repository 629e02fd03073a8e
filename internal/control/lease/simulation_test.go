package lease_test

import (
	"fmt"
	"testing"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// candidates models three processes, each an acceptor and a candidate for the lease.
type candidates struct {
	world      *simulation.World
	names      []string
	grantors   map[string]*lease.Grantor
	leases     map[string]*lease.Lease
	leadership messages.Leadership
	// changes is the number of changes of the leadership.
	changes int
}

func newCandidates(seed int64) *candidates {
	c := &candidates{world: simulation.NewWorld(seed), names: []string{"a", "b", "c"},
		grantors: map[string]*lease.Grantor{}, leases: map[string]*lease.Lease{}}
	c.world.LossProbability, c.world.DuplicateProbability = 0.1, 0.05
	for _, name := range c.names {
		c.grantors[name] = lease.NewGrantor(c.world.Now, true)
		c.leases[name] = &lease.Lease{}
	}
	for _, name := range c.names {
		c.world.After(clock.Duration(c.world.Random.Int63n(int64(constants.LeaseDuration))), func() { c.campaign(name) })
	}
	return c
}

// campaign requests the lease from all acceptors, and repeats this after a pause.
func (c *candidates) campaign(name string) {
	backoff := constants.LeaseRenewPeriod + clock.Duration(c.world.Random.Int63n(int64(constants.LeaseRenewPeriod)))
	c.world.After(backoff, func() { c.campaign(name) })
	sentAt, granted, finished := c.world.Now, map[string]bool{}, false
	req := messages.LeaseRequest{Candidate: name, Incarnation: 1, Epoch: c.leadership.Epoch}
	for _, acceptor := range c.names {
		c.world.Send(name, acceptor, func() {
			resp := c.grantors[acceptor].Grant(req, c.leadership, c.world.Now)
			c.world.Send(acceptor, name, func() {
				if !resp.Granted || finished {
					return
				}
				if granted[acceptor] = true; len(granted) == 2 {
					finished = true
					c.acquire(name, req.Epoch, sentAt)
				}
			})
		})
	}
}

// acquire makes a candidate the leader with a lease that a majority granted.
func (c *candidates) acquire(name string, epoch uint64, sentAt clock.Instant) {
	if c.leadership.Holder != name {
		// The register raises the epoch, so it rejects a request with an older one.
		if epoch != c.leadership.Epoch {
			return
		}
		c.leadership = messages.Leadership{Holder: name, Incarnation: 1, Epoch: c.leadership.Epoch + 1}
		c.changes++
	}
	c.leases[name].Renewed(sentAt)
}

// validLeases returns the number of leases that are valid now.
func (c *candidates) validLeases() int {
	valid := 0
	for _, name := range c.names {
		if c.leases[name].Valid(c.world.Now) {
			valid++
		}
	}
	return valid
}

// injectFault restarts or isolates an acceptor in one of twenty calls.
func (c *candidates) injectFault() {
	switch c.world.Random.Intn(40) {
	case 0:
		// The acceptor loses its grants, and for the duration of a lease grants only to the leader.
		c.grantors[c.names[c.world.Random.Intn(3)]] = lease.NewGrantor(c.world.Now, false)
	case 1:
		partitioned := c.names[c.world.Random.Intn(3)]
		c.world.Isolate(partitioned, c.names, true)
		c.world.After(3*constants.LeaseDuration, func() { c.world.Isolate(partitioned, c.names, false) })
	}
}

// Three acceptors grant one lease to three candidates while messages are lost, delayed and
// duplicated, links are partitioned and acceptors restart: no two leases may be valid at the same
// time.
func TestOneValidLeaseUnderFaults(t *testing.T) {
	changes := 0
	for seed := int64(1); seed <= 80; seed++ {
		c := newCandidates(seed)
		for step := 0; step < 400; step++ {
			c.world.Run(c.world.Now.Add(clock.Milliseconds(50)))
			if valid := c.validLeases(); valid > 1 {
				t.Fatalf("seed %d: %d leases are valid at once", seed, valid)
			}
			c.injectFault()
		}
		changes += c.changes
	}
	if changes < 160 {
		t.Fatal(fmt.Sprint("the leadership changed only ", changes, " times, want at least 160"))
	}
}
