package store

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/simulation"
)

// simStore is a store on a fake disk.
type simStore struct {
	member messages.Member
	disk   *simulation.Disk
	log    *replicalog.Log
	down   bool
	// faulty is set while its disk may fail operations.
	faulty bool
}

// simLeader is the leader of one epoch. It uses the same replication and job tables as the real
// leader, driven by events instead of goroutines.
type simLeader struct {
	fleet      *simFleet
	address    string
	epoch      uint64
	replicator *replication.Replicator
	jobs       *dispatch.JobTable
	// records are the records of this epoch, beginning at firstIndex. Those up to applied are applied.
	records []messages.Record
	applied int64
	// nextIndex maps the identity of a store to the index of the next record to be sent to it.
	nextIndex map[string]int64
	// ready is set once a record of this epoch is committed.
	ready      bool
	firstIndex int64
	// forgets contains the jobs for which this leader has appended a forget record.
	forgets map[string]bool
	// fenced is set once a member has responded with a later epoch.
	fenced bool
}

// simFleet is a set of simulated stores with at most one leader that clients use.
type simFleet struct {
	t      *testing.T
	world  *simulation.World
	stores map[string]*simStore
	// epoch and set are the content of the register, whose agreement is tested elsewhere.
	epoch             uint64
	set               []messages.Member
	leader            *simLeader
	acknowledgedItems map[string]string
	acknowledgedAt    map[string]uint64
	// acknowledgements counts all acknowledged outputs. Jobs that a leader has begun to forget are
	// no longer in acknowledgedItems; those whose forget record is durable are in forgotten.
	acknowledgements int
	forgotten        map[string]bool
	jobNumber        int
	// sent is the traffic to each store.
	sent map[string]traffic
	// forgetRequested contains the jobs that some leader has begun to forget.
	forgetRequested map[string]bool
	// isolated contains the machines that are partitioned now.
	isolated map[string]bool
	// budget is the number of stores that may be lost at once.
	budget      int
	appendDelay map[string]clock.Duration
}

// newSimFleet creates stores for a fault budget of one. The first three are the store set.
func newSimFleet(t *testing.T, seed int64, count int) *simFleet {
	t.Helper()

	return newSimFleetOf(t, seed, count, 1, 3)
}

// newSimFleetOf creates count stores, the first size of which are the store set.
func newSimFleetOf(t *testing.T, seed int64, count, budget, size int) *simFleet {
	t.Helper()

	fleet := &simFleet{budget: budget, t: t, world: simulation.NewWorld(seed), stores: map[string]*simStore{}, acknowledgedItems: map[string]string{}, acknowledgedAt: map[string]uint64{}, forgotten: map[string]bool{}, isolated: map[string]bool{}, forgetRequested: map[string]bool{}, sent: map[string]traffic{}}
	for i := 0; i < count; i++ {
		name := fmt.Sprintf("s%d", i)
		store := &simStore{disk: simulation.NewDisk(seed*31 + int64(i))}
		store.member = messages.Member{Name: name, Address: name, Disk: name + "-0"}
		fleet.open(store)
		fleet.stores[name] = store
		if i < size {
			fleet.set = append(fleet.set, store.member)
		}
	}
	fleet.compactPeriodically(rand.New(rand.NewSource(seed)))
	return fleet
}

// open starts a store on its disk.
func (s *simFleet) open(store *simStore) {
	log, err := replicalog.Open(store.disk, store.member.Disk)
	if err != nil {
		s.t.Fatal(err)
	}
	// Files are compacted once at least six records, and at least half of all, are obsolete, never by size.
	log.SetCompaction(replicalog.Compaction{Bytes: 1 << 40, Records: 6, Lag: clock.Milliseconds(150)})
	store.log, store.down = log, false
	store.member.Disk = log.Disk()
}

// startTakeover makes a process campaign for a new epoch. The previous leader may not notice.
func (s *simFleet) startTakeover(name string) {
	s.epoch++
	leader := &simLeader{fleet: s, address: name, epoch: s.epoch, nextIndex: map[string]int64{}, forgets: map[string]bool{}}
	set := append([]messages.Member(nil), s.set...)
	copies := map[string]messages.FenceResponse{}
	started := false
	for _, member := range set {
		target := s.stores[member.Address]
		s.world.Send(name, member.Address, func() {
			if target.down {
				return
			}
			resp, err := target.log.Fence(&messages.FenceRequest{Epoch: leader.epoch, Disk: member.Disk})
			s.world.Send(member.Address, name, func() {
				if err != nil || !resp.Granted || s.stores[name].down {
					return
				}
				copies[register.Identity(member)] = resp
				own := copies[register.Identity(s.stores[name].member)].Granted
				if !started && own && replication.EnoughFenced(len(set), len(copies), s.budget) {
					started = true
					leader.takeOver(set, copies)
				}
			})
		})
	}
}
