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
func (s *contactSimulation) propose() {
	last := s.sets[len(s.sets)-1]
	value := contact.Versions{SetEpoch: last.SetEpoch}
	if count := len(s.history); count > 0 {
		value = s.history[count-1].value
	}
	value.SetEpoch = last.SetEpoch
	next := last
	switch {
	case len(last.Previous) > 0:
		next.Previous = nil
		value.SetEpoch++
	case s.Random.Intn(4) == 0:
		next.Previous = last.Acceptors
		next.Acceptors = append(append([]messages.Member(nil), last.Acceptors[1:]...), member(100+int(last.SetEpoch)))
		value.SetEpoch++
	default:
		value.Generation++
	}
	next.SetEpoch = value.SetEpoch
	responded := map[string]bool{}
	targets := register.Targets(&next)
	for _, i := range s.Random.Perm(len(targets)) {
		if register.Quorum(&next, responded) && s.Random.Intn(2) == 0 {
			continue
		}
		s.accepted[register.Identity(targets[i])] = value
		responded[register.Identity(targets[i])] = true
	}
	s.sets = append(s.sets, next)
	s.history = append(s.history, acknowledgment{s.Now, value})
}

// round sends a request to every acceptor of the sets that the process follows.
func (s *contactSimulation) round() {
	sentAt := s.Now
	known := s.known()
	for _, target := range register.Targets(&known) {
		s.Send("process", target.Address, func() {
			accepted := s.accepted[register.Identity(target)]
			s.Send(target.Address, "process", func() {
				s.lease.Observe(target, sentAt, accepted, s.followed)
			})
		})
	}
}

func (s *contactSimulation) known() messages.RegisterValue {
	for _, sets := range s.sets {
		if sets.SetEpoch == s.followed.SetEpoch {
			return sets
		}
	}
	s.test.Fatalf("seed %d: the process follows epoch %d, which no set has", s.seed, s.followed.SetEpoch)
	return messages.RegisterValue{}
}

// check verifies the invariant: while the lease is valid, every value that was acknowledged at
// least constants.ContactLease ago is followed.
func (s *contactSimulation) check() {
	known := s.known()
	if !s.lease.Valid(&known, s.Now) {
		s.invalidCount++
		return
	}
	s.validCount++
	for _, earlier := range s.history {
		leaseElapsed := s.Now.Sub(earlier.at) >= constants.ContactLease
		if leaseElapsed && (earlier.value.Generation > s.followed.Generation || earlier.value.SetEpoch > s.followed.SetEpoch) {
			s.test.Fatalf("seed %d: the lease is valid at %v, but the process follows %+v, and %+v was acknowledged at %v", s.seed, s.Now, s.followed, earlier.value, earlier.at)
		}
	}
}

func (s *contactSimulation) every(period clock.Duration, function func()) {
	s.After(clock.Duration(s.Random.Int63n(int64(period))), func() {
		function()
		s.every(period, function)
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
		s := &contactSimulation{World: simulation.NewWorld(seed), test: t, seed: seed, accepted: map[string]contact.Versions{}, lease: contact.New()}
		first := messages.RegisterValue{SetEpoch: 1}
		for i := 0; i < 3+2*s.Random.Intn(2); i++ {
			first.Acceptors = append(first.Acceptors, member(i))
		}
		s.sets, s.followed = []messages.RegisterValue{first}, contact.Versions{SetEpoch: 1}
		s.LossProbability, s.DuplicateProbability = 0.1*s.Random.Float64(), 0.05
		s.every(constants.ContactPeriod, s.round)
		s.every(2*constants.ContactPeriod, s.propose)
		s.every(50_000_000, s.check)
		// The process catches up from time to time, and is partitioned from some acceptors for a
		// while.
		s.every(3*constants.ContactPeriod, func() {
			if count := len(s.history); count > 0 && s.Random.Intn(3) > 0 {
				s.followed = s.history[count-1].value
			}
		})
		s.every(4*constants.ContactPeriod, func() {
			known := s.known()
			for _, target := range known.Acceptors {
				s.SetPartitioned("process", target.Address, s.Random.Intn(3) == 0)
				s.SetPartitioned(target.Address, "process", s.Random.Intn(3) == 0)
			}
		})
		s.Run(clock.Instant(0).Add(40 * constants.ContactLease))
		valid, invalid = valid+s.validCount, invalid+s.invalidCount
	}
	if valid == 0 || invalid == 0 {
		t.Fatalf("valid %d times, not valid %d times, want both at least once", valid, invalid)
	}
	t.Logf("valid %d times, not valid %d times", valid, invalid)
}
