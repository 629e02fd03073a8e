package maquette

import (
	"fmt"
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/ledgerbox"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// lots drives ledgerbox and apprentice as lockers do: one holder with the dispatcher,
// copies at three stores, and a driver in every locker. The holder is given and its
// takeover is not played; a run is a time that passes, without its events.
type lots struct {
	fleet   *Fleet
	members []pattern.Member
	holder  *Node
	random  *rand.Rand
	made    int
	asked   watch.Moment
	// listed counts items at their positions; waits are the ms from hand-in to durable.
	listed int64
	waits  []float64
}

// drawer is what a store, a driver and the holder keep.
type drawer struct {
	shelf  *ledgerbox.Shelf
	driver *ledger
	// The holder's: the dispatcher, and the records that are not on all stores yet.
	dispatcher *ledgerbox.Dispatcher
	press      *ledgerbox.Press
	book       *ledgerbox.Book
	recent     []pattern.Record
	first      int64
	applied    int64
	sending    map[string]bool
	begun      map[string]watch.Moment
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

func newLots(fleet *Fleet) *lots {
	made := &lots{fleet: fleet, random: rand.New(rand.NewSource(fleet.Plan.Seed + 61))}
	halls := map[string]bool{}
	for _, node := range fleet.nodes {
		if node.own.Role == bellows.RoleLocker && len(made.members) < storeCount && !halls[node.own.Hall] {
			halls[node.own.Hall] = true
			made.members = append(made.members, pattern.Member{Name: node.own.Name, Disk: node.own.Disk, Address: node.own.Address, Hall: node.own.Hall})
			if made.holder == nil {
				made.holder = node
			}
		}
	}
	return made
}

// Name names it.
func (*lots) Name() string { return "lots" }

func (lots *lots) drawer(node *Node) *drawer {
	drawer, _ := node.state[4].(*drawer)
	return drawer
}

// Begin starts a store, and the holder's part at the holder.
func (lots *lots) Begin(node *Node) any {
	node.answerers[pattern.KindHolderTold] = reads(node, CoreHolds, func(*pattern.HolderTold) tongs.Writable { return taken() })
	if node.own.Role != bellows.RoleLocker || lots.holder == nil {
		return nil
	}
	own := &drawer{shelf: ledgerbox.NewShelf(node.own.Disk)}
	node.answerers[pattern.KindAppend] = reads(node, CoreLots, func(order *pattern.Append) tongs.Writable {
		answer := own.append(order)
		return &answer
	})
	own.driver = lots.beginDriver(node)
	if node != lots.holder {
		return own
	}
	own.press, own.book = ledgerbox.NewPress(lotEpoch, lots.members, lotBudget, 1), ledgerbox.NewBook()
	own.first, own.sending, own.begun = 1, map[string]bool{}, map[string]watch.Moment{}
	node.answerers[pattern.KindLotCall] = reads(node, CoreLots, func(call *pattern.LotCall) tongs.Writable {
		own.begun[call.Lot] = node.now()
		lots.submit(node, own, pattern.Record{Kind: pattern.RecordLot, Lot: call.Lot, AtMs: int64(node.now()) / 1_000_000, Host: call.Host, Body: call.Body})
		return &pattern.LotAnswer{Status: 202}
	})
	lots.beginDispatch(node, own)
	node.every(almanac.HoldRenewal, func() { lots.renew(node) })
	node.every(almanac.HoldRenewal, func() {
		for _, entry := range lots.fleet.members.all(node) {
			if entry.Role != bellows.RoleForeman {
				node.ask(CoreHolds, entry.Address, pattern.KindHolderTold, &pattern.HolderTold{Duty: lots.duty()}, &pattern.Nothing{}, almanac.HoldRenewal, func(bool) {})
			}
		}
	})
	return own
}

// Drop lets go of lots.
func (lots *lots) Drop(node *Node) { node.state[4] = nil }

func (lots *lots) duty() pattern.Duty {
	own := lots.holder.own
	return pattern.Duty{Holder: own.Name, Life: own.Life, Address: own.Address, Epoch: lotEpoch}
}

// renew asks every acceptor for the hold again.
func (lots *lots) renew(node *Node) {
	own := node.own
	for _, seed := range lots.fleet.seeds {
		node.ask(CoreHolds, seed, pattern.KindAsk, &pattern.HoldAsk{Candidate: own.Name, Life: own.Life}, &pattern.HoldAnswer{}, almanac.HoldRenewal, func(bool) {})
	}
}

// append is what a store does with an order; there is no disk to write to.
func (own *drawer) append(order *pattern.Append) pattern.Appended {
	plan, answer := own.shelf.Append(order)
	if answer.Granted {
		own.shelf.Commit(plan, order.Epoch, make([]int64, len(plan.Records)))
	}
	return answer
}

// handIn gives the holder a new lot from some edge process.
func (lots *lots) handIn() {
	edges := lots.fleet.live(bellows.RoleForge)
	if len(edges) == 0 || lots.holder == nil || lots.holder.down {
		return
	}
	node := edges[lots.random.Intn(len(edges))]
	lots.made++
	name := fmt.Sprintf("lot-%08d", lots.made)
	body := &pattern.LotBody{Path: "/v1/batch"}
	for place := 0; place < lots.fleet.Plan.LotItems; place++ {
		item := pattern.LotItem{ID: fmt.Sprintf("item-%06d", place), Path: "/v1/generate", Tokens: 600, Body: make([]byte, lots.fleet.Plan.ItemBytes)}
		body.Items = append(body.Items, item)
	}
	text, _ := body.MarshalMsg(nil)
	if len(text) > almanac.FrameLimit {
		// No frame holds it: such a lot is refused before anything is taken.
		lots.fleet.troubles.refused("lot")
		return
	}
	call := &pattern.LotCall{Method: "POST", Host: "tenant.example", Path: "/v1/batch", Lot: name, Body: text}
	node.ask(CoreLots, lots.holder.own.Address, pattern.KindLotCall, call, &pattern.LotAnswer{}, almanac.BulkCallTime, func(bool) {})
}

// submit makes a record at the holder and has it copied.
func (lots *lots) submit(node *Node, own *drawer, record pattern.Record) int64 {
	record.Index, record.Epoch = own.press.Take(), lotEpoch
	own.recent = append(own.recent, record)
	for _, member := range lots.members {
		lots.feed(node, own, member, vise.Identity(member))
	}
	return record.Index
}
