package hollowfleet

import (
	"fmt"
	"math/rand"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/admission"
)

// registrations drives the workers: workers beat at a controller; what changed goes down the
// tree, and what was missed is pulled by digests.
type registrations struct {
	fleet  *Fleet
	random *rand.Rand
	all    []messages.Worker
	turned int
	number uint64
}

// placing is what a process keeps that places work.
type placing struct {
	scheduler *admission.Scheduler
	read      map[string]messages.Digest
	// neighbours is whom it tells.
	neighbours neighbours
}

// table is what a controller keeps.
type table struct {
	registry *workers.Registry
	peers    map[string]*peer
	relays   map[string]*propagation
	backlog  *broadcast.Backlog
}

// peer is what a controller remembers of another one.
type peer struct {
	registrations, processes messages.Digest
	told                     clock.Instant
}

func newWorkers(fleet *Fleet) *registrations {
	made := &registrations{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 17))}
	for number := 0; number < fleet.Plan.Workers; number++ {
		made.all = append(made.all, made.worker(number, 0))
	}
	return made
}

func (r *registrations) worker(number, incarnation int) messages.Worker {
	// A model's workers stand in all zones.
	zone := (number + number/r.fleet.Plan.Models) % r.fleet.Plan.Zones
	return messages.Worker{ID: fmt.Sprintf("model-%02d-worker-%04d-%d", number%r.fleet.Plan.Models, number, incarnation),
		Backend: fmt.Sprintf("model-%02d", number%r.fleet.Plan.Models), Address: fmt.Sprintf("10.%d.%d.%d:9000", 100+zone, number/250, number%250),
		Zone:     fmt.Sprintf("region-%d-zone-%d", zone*r.fleet.Plan.Regions/r.fleet.Plan.Zones, zone),
		Capacity: 16, Software: "1.0"}
}

// Name names it.
func (*registrations) Name() string { return "workers and weights" }

func (*registrations) placing(node *Node) *placing {
	own, _ := node.state[1].(*placing)
	return own
}

func (*registrations) table(node *Node) *table {
	own, _ := node.state[1].(*table)
	return own
}

// Begin starts the workers of a process.
func (r *registrations) Begin(node *Node) any {
	heartbeat := clock.Milliseconds(r.fleet.Plan.HeartbeatMs)
	if node.places() {
		own := &placing{scheduler: admission.New(node.own, heartbeat), read: map[string]messages.Digest{}}
		node.answerers[messages.KindWorkersUpdate] = reads(node, CoreWorkers, func(push *messages.WorkersUpdate) transport.Marshaler {
			own.scheduler.Merge(push.Workers, node.now())
			r.fleet.members.touched(node, push.From)
			return taken()
		})
		node.after(constants.StartBackoff, func() { r.pullFirst(node, own) })
		return own
	}
	own := &table{registry: workers.New(heartbeat), peers: map[string]*peer{}, relays: map[string]*propagation{}, backlog: broadcast.NewBacklog()}
	node.answerers[messages.KindWorkersUpdate] = reads(node, CoreWorkers, func(push *messages.WorkersUpdate) transport.Marshaler {
		r.merge(node, own, push.Workers)
		r.fleet.members.touched(node, push.From)
		return taken()
	})
	node.answerers[messages.KindWorkersPull] = reads(node, CoreWorkers, func(req *messages.WorkersPullRequest) transport.Marshaler {
		return &messages.WorkersUpdate{From: membership.Key(node.own), Workers: own.registry.Since(req.Since, node.now()), Table: own.registry.Digest(node.own.Incarnation)}
	})
	r.beginBeats(node, own)
	r.beginRelays(node, own)
	r.beginKeep(node, own)
	node.every(constants.BacklogPeriod, func() { r.retryBacklog(node, own) })
	return own
}

// Drop lets go of the workers, and of the health and index beside it.
func (r *registrations) Drop(node *Node) { node.state[1] = nil }

func (r *registrations) merge(node *Node, own *table, list []messages.Worker) {
	for _, worker := range list {
		own.registry.Merge(worker, node.now())
	}
}

func (r *registrations) pullFirst(node *Node, own *placing) {
	seed := r.fleet.seeds[node.random.Intn(len(r.fleet.seeds))]
	r.pull(node, own, seed, 0, func(reached bool) {
		if !reached {
			node.after(constants.StartBackoff, func() { r.pullFirst(node, own) })
		}
	})
}

func (r *registrations) pull(node *Node, own *placing, address string, since uint64, then func(bool)) {
	back := &messages.WorkersUpdate{}
	req := &messages.WorkersPullRequest{From: membership.Key(node.own), Since: since}
	node.ask(CoreWorkers, address, messages.KindWorkersPull, req, back, constants.CallTimeout, func(reached bool) {
		if reached {
			own.scheduler.Merge(back.Workers, node.now())
			own.read[address] = back.Table
		}
		then(reached)
	})
}

// handleControllerReport takes what a controller's periodic answer says of workers.
func (r *registrations) heardController(node *Node, address string, resp *messages.Shuffle) {
	own := r.placing(node)
	if own == nil || resp.Workers.Incarnation == 0 {
		return
	}
	node.step(CoreWorkers, func() {
		read := own.read[address]
		since, request := behind(&read, resp.Workers, own.scheduler.WorkersDigest())
		own.read[address] = read
		if request {
			r.pull(node, own, address, since, func(bool) {})
		}
		if resp.OverdueComplete {
			own.scheduler.HandleOverdue(resp.Overdue, node.now())
		}
	})
}

// behind tells whether another's table may hold something beyond ours, and from which
// clock on to ask.
func behind(read *messages.Digest, received, own messages.Digest) (since uint64, request bool) {
	if received.Sum == own.Sum {
		*read = received
		return 0, false
	}
	if read.Incarnation != received.Incarnation {
		return 0, true
	}
	return read.Clock, received.Clock > read.Clock
}

// addWorkers adds what is known of workers to a controller's answer.
func (r *registrations) addWorkers(node *Node, resp *messages.Shuffle) {
	if !r.fleet.contacts.attached(node) {
		*resp = messages.Shuffle{Entries: resp.Entries[:1], Detached: true}
		return
	}
	own := r.table(node)
	node.step(CoreWorkers, func() {
		resp.Workers = own.registry.Digest(node.own.Incarnation)
		resp.OverdueComplete, resp.Overdue = true, own.registry.Overdue(node.now())
	})
}

// note takes a worker's call at a controller; done is told when it is acknowledged.
func (r *registrations) note(node *Node, worker messages.Worker, done func()) {
	own := r.table(node)
	changed := false
	node.step(CoreWorkers, func() {
		changed = own.registry.Heartbeat(worker, node.now())
		worker, _ = own.registry.Get(worker.ID)
	})
	if !changed {
		done()
		return
	}
	parts := 1
	completed := func() {
		if parts--; parts == 0 {
			done()
		}
	}
	if worker.Phase != messages.PhaseSteady {
		parts++
		r.persistAtQuorum(node, worker, completed)
	}
	r.spread(node, CoreWorkers, &messages.RelayRequest{Workers: []messages.Worker{worker}}, constants.BroadcastTimeout, completed)
}

// controller gives the controller that a worker calls: its zone's, or any that runs. One
// that is not in contact with a majority takes no call.
func (r *registrations) controller(number int) *Node {
	live := r.fleet.live(membership.RoleController)
	for _, node := range live {
		if node.own.Zone == r.all[number].Zone && r.fleet.contacts.attached(node) {
			return node
		}
	}
	if len(live) == 0 {
		return nil
	}
	other := live[r.random.Intn(len(live))]
	if !r.fleet.contacts.attached(other) {
		return nil
	}
	return other
}

// knows gives a worker as a process knows it.
func (r *registrations) knows(node *Node, id string) (messages.Worker, bool) {
	if own := r.placing(node); own != nil {
		return own.scheduler.Registry.Get(id)
	}
	if own := r.table(node); own != nil {
		return own.registry.Get(id)
	}
	return messages.Worker{}, false
}
