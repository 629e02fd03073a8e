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

// candidates are three processes, each an acceptor and a candidate for the lease.
type candidates struct {
	world      *simulation.World
	names      []string
	grantors   map[string]*lease.Grantor
	leases     map[string]*lease.Lease
	leadership messages.Leadership
	// changes counts how often the leadership changed hands.
	changes int
}

func newCandidates(seed int64) *candidates {
	c := &candidates{world: simulation.NewWorld(seed), names: []string{"a", "b", "c"},
		grantors: map[string]*lease.Grantor{}, leases: map[string]*lease.Lease{}}
	c.world.Loss, c.world.Double = 0.1, 0.05
	for _, name := range c.names {
		c.grantors[name] = lease.NewGrantor(c.world.Now, true)
		c.leases[name] = &lease.Lease{}
	}
	for _, name := range c.names {
		c.world.After(clock.Duration(c.world.Random.Int63n(int64(constants.LeaseDuration))), func() { c.campaign(name) })
	}
	return c
}

// campaign asks all acceptors for the lease, and does so again after a while.
func (c *candidates) campaign(name string) {
	backoff := constants.LeaseRenewPeriod + clock.Duration(c.world.Random.Int63n(int64(constants.LeaseRenewPeriod)))
	c.world.After(backoff, func() { c.campaign(name) })
	sentAt, granted, over := c.world.Now, map[string]bool{}, false
	req := messages.LeaseRequest{Candidate: name, Incarnation: 1, Epoch: c.leadership.Epoch}
	for _, acceptor := range c.names {
		c.world.Send(name, acceptor, func() {
			resp := c.grantors[acceptor].Grant(req, c.leadership, c.world.Now)
			c.world.Send(acceptor, name, func() {
				if !resp.Granted || over {
					return
				}
				if granted[acceptor] = true; len(granted) == 2 {
					over = true
					c.win(name, req.Epoch, sentAt)
				}
			})
		})
	}
}

// win takes the leadership with a lease that a majority granted.
func (c *candidates) win(name string, epoch uint64, sentAt clock.Instant) {
	if c.leadership.Holder != name {
		// The register raises the epoch; an older request loses there.
		if epoch != c.leadership.Epoch {
			return
		}
		c.leadership = messages.Leadership{Holder: name, Incarnation: 1, Epoch: c.leadership.Epoch + 1}
		c.changes++
	}
	c.leases[name].Renewed(sentAt)
}

// validLeases counts the leases that are valid now.
func (c *candidates) validLeases() int {
	valid := 0
	for _, name := range c.names {
		if c.leases[name].Valid(c.world.Now) {
			valid++
		}
	}
	return valid
}

// strike restarts an acceptor or cuts one off, now and then.
func (c *candidates) strike() {
	switch c.world.Random.Intn(40) {
	case 0:
		// An acceptor forgets what it granted; it is quiet for the length of a lease.
		c.grantors[c.names[c.world.Random.Intn(3)]] = lease.NewGrantor(c.world.Now, false)
	case 1:
		partitioned := c.names[c.world.Random.Intn(3)]
		c.world.Isolate(partitioned, c.names, true)
		c.world.After(3*constants.LeaseDuration, func() { c.world.Isolate(partitioned, c.names, false) })
	}
}

// Three acceptors grant one lease to three candidates under loss, delay, doubled
// messages, partitions and restarts of acceptors: at no moment are two leases valid.
func TestOneValidLeaseUnderFaults(t *testing.T) {
	changes := 0
	for seed := int64(1); seed <= 80; seed++ {
		c := newCandidates(seed)
		for step := 0; step < 400; step++ {
			c.world.Run(c.world.Now.Add(clock.Milliseconds(50)))
			if valid := c.validLeases(); valid > 1 {
				t.Fatalf("seed %d: %d leases are valid at once", seed, valid)
			}
			c.strike()
		}
		changes += c.changes
	}
	if changes < 160 {
		t.Fatal(fmt.Sprint("the leadership changed hands only ", changes, " times"))
	}
}
