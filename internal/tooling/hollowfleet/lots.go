package hollowfleet

import (
	"fmt"
	"math/rand"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// storage drives lots and itemdriver as stores do: one holder with the dispatcher,
// copies at three stores, and a driver in every store. The holder is given and its
// takeover is not played; a run is a time that passes, without its events.
type storage struct {
	fleet   *Fleet
	members []messages.Member
	holder  *Node
	random  *rand.Rand
	made    int
	// listed counts items at their positions; waits are the ms from hand-in to durable.
	listed int64
	waits  []float64
}

// storeState is what a store, a driver and the holder keep.
type storeState struct {
	replica *replication.Replica
	driver  *driverState
	// The holder's: the dispatcher, and the records that are not on all stores yet.
	dispatcher  *dispatch.Dispatcher
	replication *replication.Replicator
	book        *dispatch.JobTable
	recent      []messages.Record
	first       int64
	applied     int64
	sending     map[string]bool
	begun       map[string]clock.Instant
	// durable are those who wait for a record.
	durable []waiting
}

// waiting is told once a record is durable.
type waiting struct {
	index int64
	then  func()
}

const (
	storeCount = 3
	lotBudget  = 1
	lotEpoch   = 1
)

func newLots(fleet *Fleet) *storage {
	made := &storage{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 61))}
	zones := map[string]bool{}
	for _, node := range fleet.nodes {
		if node.own.Role == membership.RoleStore && len(made.members) < storeCount && !zones[node.own.Zone] {
			zones[node.own.Zone] = true
			made.members = append(made.members, messages.Member{Name: node.own.Name, Disk: node.own.Disk, Address: node.own.Address, Zone: node.own.Zone})
			if made.holder == nil {
				made.holder = node
			}
		}
	}
	return made
}

// Name names it.
func (*storage) Name() string { return "lots" }

// Begin starts a store, and the holder's part at the holder.
func (s *storage) Begin(node *Node) any {
	node.answerers[messages.KindLeaderAnnouncement] = reads(node, CoreHolds, func(*messages.LeaderAnnouncement) transport.Marshaler { return taken() })
	if node.own.Role != membership.RoleStore || s.holder == nil {
		return nil
	}
	own := &storeState{replica: replication.NewReplica(node.own.Disk)}
	node.answerers[messages.KindAppend] = reads(node, CoreLots, func(order *messages.AppendRequest) transport.Marshaler {
		resp := own.append(order)
		return &resp
	})
	own.driver = s.beginDriver(node)
	if node != s.holder {
		return own
	}
	own.replication, own.book = replication.NewReplicator(lotEpoch, s.members, lotBudget, 1), dispatch.NewJobTable()
	own.first, own.sending, own.begun = 1, map[string]bool{}, map[string]clock.Instant{}
	node.answerers[messages.KindJobCall] = reads(node, CoreLots, func(call *messages.JobCallRequest) transport.Marshaler {
		own.begun[call.Job] = node.now()
		s.submit(node, own, messages.Record{Kind: messages.RecordJob, Job: call.Job, AtMs: int64(node.now()) / 1_000_000, Host: call.Host, Body: call.Body})
		return &messages.JobCallResponse{Status: 202}
	})
	s.beginDispatch(node, own)
	node.every(constants.LeaseRenewPeriod, func() { s.renew(node) })
	node.every(constants.LeaseRenewPeriod, func() {
		for _, entry := range s.fleet.members.all(node) {
			if entry.Role != membership.RoleController {
				node.ask(CoreHolds, entry.Address, messages.KindLeaderAnnouncement, &messages.LeaderAnnouncement{Leadership: s.duty()}, &messages.Ack{}, constants.LeaseRenewPeriod, func(bool) {})
			}
		}
	})
	return own
}

// Drop lets go of lots.
func (s *storage) Drop(node *Node) { node.state[4] = nil }

func (s *storage) duty() messages.Leadership {
	own := s.holder.own
	return messages.Leadership{Holder: own.Name, Incarnation: own.Incarnation, Address: own.Address, Epoch: lotEpoch}
}

// renew asks every acceptor for the hold again.
func (s *storage) renew(node *Node) {
	own := node.own
	for _, seed := range s.fleet.seeds {
		node.ask(CoreHolds, seed, messages.KindLease, &messages.LeaseRequest{Candidate: own.Name, Incarnation: own.Incarnation}, &messages.LeaseResponse{}, constants.LeaseRenewPeriod, func(bool) {})
	}
}

// append is what a store does with an order; there is no disk to write to.
func (s *storeState) append(order *messages.AppendRequest) messages.AppendResponse {
	plan, resp := s.replica.Append(order)
	if resp.Granted {
		s.replica.Commit(plan, order.Epoch, make([]int64, len(plan.Records)))
	}
	return resp
}

// submitJob gives the holder a new lot from some edge process.
func (s *storage) submitJob() {
	edges := s.fleet.live(membership.RoleGateway)
	if len(edges) == 0 || s.holder == nil || s.holder.down {
		return
	}
	node := edges[s.random.Intn(len(edges))]
	s.made++
	name := fmt.Sprintf("lot-%08d", s.made)
	body := &messages.JobBody{Path: "/v1/batch"}
	for i := 0; i < s.fleet.Plan.LotItems; i++ {
		item := messages.JobItem{ID: fmt.Sprintf("item-%06d", i), Path: "/v1/generate", Tokens: 600, Body: make([]byte, s.fleet.Plan.ItemBytes)}
		body.Items = append(body.Items, item)
	}
	text, _ := body.MarshalMsg(nil)
	if len(text) > constants.FrameLimit {
		// No frame holds it: such a lot is refused before anything is taken.
		s.fleet.troubles.refused("lot")
		return
	}
	call := &messages.JobCallRequest{Method: "POST", Host: "tenant.example", Path: "/v1/batch", Job: name, Body: text}
	node.ask(CoreLots, s.holder.own.Address, messages.KindJobCall, call, &messages.JobCallResponse{}, constants.BulkCallTimeout, func(bool) {})
}

// submit makes a record at the holder and has it copied.
func (s *storage) submit(node *Node, own *storeState, record messages.Record) int64 {
	record.Index, record.Epoch = own.replication.NextIndex(), lotEpoch
	own.recent = append(own.recent, record)
	for _, member := range s.members {
		s.feed(node, own, member, register.Identity(member))
	}
	return record.Index
}
