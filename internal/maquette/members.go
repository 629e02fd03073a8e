package maquette

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// membership drives bellows as trestle does: a periodic word with a foreman, and now
// and then with a neighbour.
type membership struct{ fleet *Fleet }

// seat is the view of one process.
type seat struct {
	view   *bellows.View
	rounds int
}

// Name names it.
func (*membership) Name() string { return "membership" }

func (members *membership) view(node *Node) *bellows.View { return node.state[0].(*seat).view }

// Begin starts the view of a process.
func (members *membership) Begin(node *Node) any {
	own := &seat{view: bellows.NewView(node.own, node.random.Int63())}
	node.answerers[pattern.KindShuffle] = reads(node, CoreMembership, func(question *pattern.Shuffle) tongs.Writable {
		members.heard(node, question.Entries)
		if node.places() {
			return &pattern.Shuffle{Entries: own.view.Offer(node.now())}
		}
		answer := own.view.Answer(question, node.now())
		members.fleet.workers.addWorkers(node, answer)
		return answer
	})
	members.meet(node, own, 0)
	return own
}

// Drop lets go of the view.
func (members *membership) Drop(node *Node) { node.state[0] = nil }

// meet asks the seeds until a foreman is known, then goes over to the periodic word.
func (members *membership) meet(node *Node, own *seat, round int) {
	const meetings = 10
	node.after(watch.Span(node.random.Int63n(int64(almanac.StartPause))), func() {
		for _, seed := range members.fleet.seeds {
			if seed != node.own.Address {
				members.report(node, seed, func(bool) {})
			}
		}
		node.after(almanac.StartPause*2, func() {
			known := len(own.view.Live(bellows.RoleForeman, node.now())) > 0
			switch {
			case !known || (!node.places() && round < meetings):
				members.meet(node, own, round+1)
			case node.places():
				members.exchange(node, own)
				node.every(almanac.ShufflePeriod, func() { members.exchange(node, own) })
			}
		})
	})
}

// exchange is the periodic word with a foreman, or with others where none answers.
func (members *membership) exchange(node *Node, own *seat) {
	const tries = 3
	own.rounds++
	var foremen []pattern.Entry
	node.step(CoreMembership, func() { foremen = own.view.Foremen(node.now()) })
	after := func(heard bool) {
		if !heard || own.rounds%almanac.NeighbourRounds == 0 {
			members.neighbour(node, own)
		}
	}
	var try func(place int)
	try = func(place int) {
		if place < min(tries, len(foremen)) {
			members.report(node, foremen[place].Address, func(heard bool) {
				if heard {
					after(true)
					return
				}
				try(place + 1)
			})
			return
		}
		members.report(node, members.fleet.seeds[node.random.Intn(len(members.fleet.seeds))], after)
	}
	try(0)
}

// neighbour shuffles with a neighbour.
func (members *membership) neighbour(node *Node, own *seat) {
	partner := ""
	node.step(CoreMembership, func() { partner = own.view.Partner(node.now()) })
	if partner == "" {
		return
	}
	answer := &pattern.Shuffle{}
	node.ask(CoreMembership, partner, pattern.KindShuffle, &pattern.Shuffle{Entries: own.view.Offer(node.now())}, answer, almanac.CallTime, func(reached bool) {
		if reached {
			members.heard(node, answer.Entries)
		}
	})
}

// report asks one foreman and takes its answer.
func (members *membership) report(node *Node, address string, then func(bool)) {
	view := members.fleet.members.viewOf(node)
	if view == nil {
		return
	}
	var question *pattern.Shuffle
	node.step(CoreMembership, func() { question = view.Question() })
	answer := &pattern.Shuffle{}
	node.ask(CoreMembership, address, pattern.KindShuffle, question, answer, almanac.ReportTime, func(reached bool) {
		if !reached {
			view.Failed(address, node.now())
			then(false)
			return
		}
		view.Answered(question, answer, node.now())
		members.saw(node, answer.Entries)
		members.fleet.workers.heardForeman(node, address, answer)
		then(true)
	})
}

// viewOf gives the view, or nil while the process is being started or let go.
func (members *membership) viewOf(node *Node) *bellows.View {
	if own, is := node.state[0].(*seat); is {
		return own.view
	}
	return nil
}

func (members *membership) heard(node *Node, entries []pattern.Entry) {
	members.view(node).Heard(entries, node.now())
	members.saw(node, entries)
}

func (members *membership) saw(node *Node, entries []pattern.Entry) {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	members.fleet.register.saw(node, newest)
}

// touched notes direct word from a process.
func (members *membership) touched(node *Node, key string) {
	members.view(node).Touched(key, node.now())
}

// all gives every entry, those silent for some time included.
func (members *membership) all(node *Node) (entries []pattern.Entry) {
	node.step(CoreMembership, func() { entries = members.view(node).All("", node.now()) })
	return entries
}

// trusts tells whether a process takes another for live.
func (members *membership) trusts(node *Node, key string) bool {
	for _, entry := range members.view(node).Live("", node.now()) {
		if bellows.Key(entry) == key {
			return true
		}
	}
	return false
}
