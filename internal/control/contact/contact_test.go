package contact_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// acknowledgment is a value that a majority accepted, and the time at which it was accepted.
type acknowledgment struct {
	at    clock.Instant
	value contact.Versions
}

// contactSimulation is one process that maintains a lease while others change the acceptor set and
// the configuration, on a network with loss, delay and partitions.
type contactSimulation struct {
	*simulation.World
	test         *testing.T
	seed         int64
	sets         []messages.RegisterValue
	accepted     map[string]contact.Versions
	lease        *contact.Lease
	followed     contact.Versions
	history      []acknowledgment
	validCount   int
	invalidCount int
}

func member(i int) messages.Member {
	return messages.Member{Address: fmt.Sprint("a", i), Disk: fmt.Sprint("d", i)}
}

// propose has the next value accepted: a new configuration, or a set in which one member is
// replaced, by way of a joint set. The value is acknowledged once majorities have accepted it.
func (p *contactSimulation) propose() {
	last := p.sets[len(p.sets)-1]
	value := contact.Versions{SetEpoch: last.SetEpoch}
	if count := len(p.history); count > 0 {
		value = p.history[count-1].value
	}
	value.SetEpoch = last.SetEpoch
	next := last
	switch {
	case len(last.Previous) > 0:
		next.Previous = nil
		value.SetEpoch++
	case p.Random.Intn(4) == 0:
		next.Previous = last.Acceptors
		next.Acceptors = append(append([]messages.Member(nil), last.Acceptors[1:]...), member(100+int(last.SetEpoch)))
		value.SetEpoch++
	default:
		value.Generation++
	}
	next.SetEpoch = value.SetEpoch
	responded := map[string]bool{}
	targets := register.Targets(&next)
	for _, i := range p.Random.Perm(len(targets)) {
		if register.Quorum(&next, responded) && p.Random.Intn(2) == 0 {
			continue
		}
		p.accepted[register.Identity(targets[i])] = value
		responded[register.Identity(targets[i])] = true
	}
	p.sets = append(p.sets, next)
	p.history = append(p.history, acknowledgment{p.Now, value})
}

// round sends a request to every acceptor of the sets that the process follows.
func (p *contactSimulation) round() {
	sentAt := p.Now
	known := p.known()
	for _, target := range register.Targets(&known) {
		p.Send("process", target.Address, func() {
			accepted := p.accepted[register.Identity(target)]
			p.Send(target.Address, "process", func() {
				p.lease.Observe(target, sentAt, accepted, p.followed)
			})
		})
	}
}

func (p *contactSimulation) known() messages.RegisterValue {
	for _, sets := range p.sets {
		if sets.SetEpoch == p.followed.SetEpoch {
			return sets
		}
	}
	p.test.Fatalf("seed %d: unknown epoch %d", p.seed, p.followed.SetEpoch)
	return messages.RegisterValue{}
}

// check verifies the invariant: while the lease is valid, every value that was acknowledged at
// least constants.ContactLease ago is followed.
func (p *contactSimulation) check() {
	known := p.known()
	if !p.lease.Valid(&known, p.Now) {
		p.invalidCount++
		return
	}
	p.validCount++
	for _, earlier := range p.history {
		leaseElapsed := p.Now.Sub(earlier.at) >= constants.ContactLease
		if leaseElapsed && (earlier.value.Generation > p.followed.Generation || earlier.value.SetEpoch > p.followed.SetEpoch) {
			p.test.Fatalf("seed %d: valid at %v, follows %+v, %+v was acknowledged at %v", p.seed, p.Now, p.followed, earlier.value, earlier.at)
		}
	}
}

func (p *contactSimulation) every(period clock.Duration, function func()) {
	p.After(clock.Duration(p.Random.Int63n(int64(period))), func() {
		function()
		p.every(period, function)
	})
}

// TestValidLeaseIsCurrent checks that a process with a valid lease follows every set and every
// configuration that was acknowledged at least constants.ContactLease ago, through message loss,
// partitions and changes of members.
func TestValidLeaseIsCurrent(t *testing.T) {
	seeds := 300
	if many, err := strconv.Atoi(os.Getenv("LEMONARCH_SEEDS")); err == nil {
		seeds = many
	}
	valid, invalid := 0, 0
	for seed := int64(1); seed <= int64(seeds); seed++ {
		p := &contactSimulation{World: simulation.NewWorld(seed), test: t, seed: seed, accepted: map[string]contact.Versions{}, lease: contact.New()}
		first := messages.RegisterValue{SetEpoch: 1}
		for i := 0; i < 3+2*p.Random.Intn(2); i++ {
			first.Acceptors = append(first.Acceptors, member(i))
		}
		p.sets, p.followed = []messages.RegisterValue{first}, contact.Versions{SetEpoch: 1}
		p.LossProbability, p.DuplicateProbability = 0.1*p.Random.Float64(), 0.05
		p.every(constants.ContactPeriod, p.round)
		p.every(2*constants.ContactPeriod, p.propose)
		p.every(50_000_000, p.check)
		// The process catches up from time to time, and is partitioned from some acceptors for a
		// while.
		p.every(3*constants.ContactPeriod, func() {
			if count := len(p.history); count > 0 && p.Random.Intn(3) > 0 {
				p.followed = p.history[count-1].value
			}
		})
		p.every(4*constants.ContactPeriod, func() {
			known := p.known()
			for _, target := range known.Acceptors {
				p.SetPartitioned("process", target.Address, p.Random.Intn(3) == 0)
				p.SetPartitioned(target.Address, "process", p.Random.Intn(3) == 0)
			}
		})
		p.Run(clock.Instant(0).Add(40 * constants.ContactLease))
		valid, invalid = valid+p.validCount, invalid+p.invalidCount
	}
	if valid == 0 || invalid == 0 {
		t.Fatalf("valid %d times, not valid %d times", valid, invalid)
	}
	t.Logf("valid %d times, not valid %d times", valid, invalid)
}
