package maquette

import (
	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// membership drives bellows as trestle does: views shuffled once a period.
type membership struct{ fleet *Fleet }

// Name names it.
func (*membership) Name() string { return "membership" }

func (members *membership) view(node *Node) *bellows.View {
	view, _ := node.state[0].(*bellows.View)
	return view
}

// Begin starts the view of a process.
func (members *membership) Begin(node *Node) any {
	view := bellows.NewView(node.own, node.random.Int63())
	node.answerers[pattern.KindShuffle] = reads(node, CoreMembership, func(question *pattern.Shuffle) tongs.Writable {
		members.heard(node, view, question.Entries)
		return &pattern.Shuffle{Entries: view.Offer(node.now())}
	})
	for _, seed := range members.fleet.seeds {
		if seed != node.own.Address {
			node.after(watch.Span(node.random.Int63n(int64(almanac.StartPause))), func() { members.shuffle(node, view, seed) })
		}
	}
	node.every(almanac.ShufflePeriod, func() {
		partner := ""
		node.step(CoreMembership, func() { partner = view.Partner(node.now()) })
		if partner == "" || node.random.Intn(8) == 0 {
			partner = members.fleet.seeds[node.random.Intn(len(members.fleet.seeds))]
		}
		if partner != node.own.Address {
			members.shuffle(node, view, partner)
		}
	})
	return view
}

// Drop lets go of the view.
func (members *membership) Drop(node *Node) { node.state[0] = nil }

func (members *membership) shuffle(node *Node, view *bellows.View, address string) {
	var body []byte
	node.step(CoreMembership, func() {
		view.SetGeneration(node.generation)
		body, _ = (&pattern.Shuffle{Entries: view.Offer(node.now())}).MarshalMsg(nil)
	})
	node.post(address, pattern.KindShuffle, body, almanac.CallTime, func(answer []byte, failure error) {
		if failure != nil {
			return
		}
		node.step(CoreMembership, func() {
			back := &pattern.Shuffle{}
			if tongs.Read(answer, back) == nil {
				members.heard(node, view, back.Entries)
			}
		})
	})
}

func (members *membership) heard(node *Node, view *bellows.View, entries []pattern.Entry) {
	view.Heard(entries, node.now())
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	members.fleet.register.saw(node, newest)
	// A view that was told of a newer configuration tells of it in its own entry.
	view.SetGeneration(node.generation)
}

// touched notes direct word from a process.
func (members *membership) touched(node *Node, key string) {
	if view := members.view(node); view != nil {
		node.step(CoreMembership, func() { view.Touched(key, node.now()) })
	}
}

// known gives the live entries of a role.
func (members *membership) known(node *Node, role string) (entries []pattern.Entry) {
	node.step(CoreMembership, func() { entries = members.view(node).Live(role, node.now()) })
	return entries
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
