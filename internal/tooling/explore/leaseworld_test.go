package explore

import (
	"fmt"

	"pgregory.net/rapid"

	"lemonarch/internal/control/lease"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

const (
	leaseNodes = 3
	// leaseHistories is how many histories are played for each that Seeds counts: they
	// are short.
	leaseHistories = 15
	// slowest and fastest are the rates of steady clocks against true time.
	slowest, fastest = 0.9, 1.1
)

// leaseNode is an acceptor and a candidate on one machine, with a clock of their own.
type leaseNode struct {
	rate  float64
	begun clock.Moment
	// grants and view are the acceptor: its side of the lease, and the duty as its
	// register value names it.
	grants *lease.Grants
	view   messages.Duty
	// hold, term and read are the candidate: term is its duty while it holds one, and
	// read the newest duty that it knows.
	name string
	life int64
	turn uint64
	// current is the one round that it waits for.
	current *round
	hold    lease.Hold
	term    messages.Duty
	read    messages.Duty
}

// round is one question to all acceptors.
type round struct {
	from     int
	question messages.HoldAsk
	asked    clock.Moment
	renews   bool
	granted  map[int]bool
	latest   uint64
}

// leaseWorld plays candidates that seek, renew and release one duty, as stores do.
type leaseWorld struct {
	now      clock.Moment
	nodes    [leaseNodes]leaseNode
	duty     messages.Duty
	inFlight []func(random *rapid.T)
	names    []string
	takeover int
}

func newLeaseWorld(random *rapid.T) *leaseWorld {
	one := &leaseWorld{}
	for place := range one.nodes {
		rate := rapid.Float64Range(slowest, fastest).Draw(random, "rate")
		one.nodes[place] = leaseNode{rate: rate, name: fmt.Sprint("n", place), life: 1, grants: lease.NewGrants(0, true)}
	}
	return one
}

// clock is the steady clock of a machine's process.
func (one *leaseWorld) clock(place int) clock.Moment {
	node := &one.nodes[place]
	return clock.Moment(float64(one.now-node.begun) * node.rate)
}

func (one *leaseWorld) send(name string, function func(random *rapid.T)) {
	one.inFlight, one.names = append(one.inFlight, function), append(one.names, name)
}

func drawNode(random *rapid.T) int { return rapid.IntRange(0, leaseNodes-1).Draw(random, "node") }

func (one *leaseWorld) advance(random *rapid.T) {
	one.now = one.now.Plus(clock.Milliseconds(float64(rapid.IntRange(1, 500).Draw(random, "ms"))))
}

// ask opens a round of the candidate: it renews what it holds, or seeks the duty.
func (one *leaseWorld) ask(random *rapid.T) {
	place := drawNode(random)
	node := &one.nodes[place]
	if node.term.Epoch > 0 && !node.hold.Stands(one.clock(place)) {
		node.term = messages.Duty{}
	}
	question := messages.HoldAsk{Candidate: node.name, Life: node.life, Epoch: node.read.Epoch}
	if node.term.Epoch > 0 {
		question.Epoch = node.term.Epoch
	}
	current := &round{from: place, question: question, asked: one.clock(place), renews: node.term.Epoch > 0, granted: map[int]bool{}}
	one.post(current)
}

func (one *leaseWorld) post(current *round) {
	node := &one.nodes[current.from]
	node.turn++
	current.question.Turn = node.turn
	node.current = current
	for target := range one.nodes {
		one.send(fmt.Sprintf("%v to n%d", current.question, target), func(*rapid.T) {
			acceptor := &one.nodes[target]
			answer := acceptor.grants.Ask(current.question, acceptor.view, one.clock(target))
			one.send(fmt.Sprintf("n%d answers %v: %v", target, current.question, answer), func(random *rapid.T) {
				one.hear(random, current, target, answer)
			})
		})
	}
}

func (one *leaseWorld) hear(random *rapid.T, current *round, from int, answer messages.HoldAnswer) {
	node := &one.nodes[current.from]
	if node.current != current || current.question.Release {
		return
	}
	current.granted[from] = answer.Granted
	current.latest = max(current.latest, answer.Epoch)
	granted := 0
	for _, yes := range current.granted {
		if yes {
			granted++
		}
	}
	if granted*2 <= leaseNodes {
		return
	}
	node.current = nil
	switch {
	case current.renews:
		if current.latest <= current.question.Epoch && node.term.Epoch == current.question.Epoch {
			node.hold.Renewed(current.asked)
		}
	case one.duty.Epoch == current.question.Epoch:
		one.take(random, node, current)
	default:
		one.release(node, current.from)
	}
}

// take raises the epoch in the register: a majority of the acceptors knows it.
func (one *leaseWorld) take(random *rapid.T, node *leaseNode, current *round) {
	one.duty = messages.Duty{Holder: node.name, Life: node.life, Epoch: one.duty.Epoch + 1}
	without := rapid.IntRange(0, leaseNodes).Draw(random, "not told")
	for place := range one.nodes {
		if place != without {
			one.nodes[place].view = one.duty
		}
	}
	node.term, node.read = one.duty, one.duty
	node.hold.Renewed(current.asked)
	one.takeover++
}

// release gives back what was granted.
func (one *leaseWorld) release(node *leaseNode, place int) {
	node.hold.Drop()
	node.term = messages.Duty{}
	one.post(&round{from: place, question: messages.HoldAsk{Candidate: node.name, Life: node.life, Epoch: node.read.Epoch, Release: true}})
}

// give up: a candidate that was not granted the duty in time, or leaves, releases it.
func (one *leaseWorld) giveUp(random *rapid.T) {
	place := drawNode(random)
	one.release(&one.nodes[place], place)
}

func (one *leaseWorld) deliver(random *rapid.T) {
	if len(one.inFlight) == 0 {
		return
	}
	place := rapid.IntRange(0, len(one.inFlight)-1).Draw(random, "message")
	random.Log(one.names[place])
	function := one.inFlight[place]
	if !rapid.Bool().Draw(random, "again") {
		one.inFlight = append(one.inFlight[:place], one.inFlight[place+1:]...)
		one.names = append(one.names[:place], one.names[place+1:]...)
	}
	function(random)
}

// exchange is a round of which most messages arrive at once; the others stay late.
func (one *leaseWorld) exchange(random *rapid.T) {
	before := len(one.inFlight)
	if rapid.Bool().Draw(random, "up to date") {
		for place := range one.nodes {
			one.nodes[place].read = one.duty
		}
	}
	one.ask(random)
	for place := before; place < len(one.inFlight); {
		if rapid.IntRange(0, 3).Draw(random, "late") == 0 {
			place++
			continue
		}
		random.Log(one.names[place])
		function := one.inFlight[place]
		one.inFlight = append(one.inFlight[:place], one.inFlight[place+1:]...)
		one.names = append(one.names[:place], one.names[place+1:]...)
		function(random)
	}
}

// restart begins a machine's next life: its clock starts again, the acceptor keeps its
// register value and forgets its grants, the candidate forgets all.
func (one *leaseWorld) restart(random *rapid.T) {
	node := &one.nodes[drawNode(random)]
	node.begun, node.life, node.turn = one.now, node.life+1, 0
	node.grants, node.hold, node.current = lease.NewGrants(0, false), lease.Hold{}, nil
	node.term, node.read = messages.Duty{}, messages.Duty{}
}

func (one *leaseWorld) check(random *rapid.T) {
	standing := ""
	count := 0
	for place := range one.nodes {
		if node := &one.nodes[place]; node.term.Epoch > 0 && node.hold.Stands(one.clock(place)) {
			standing += fmt.Sprintf(" %s in epoch %d", node.name, node.term.Epoch)
			count++
		}
	}
	if count > 1 {
		random.Fatalf("%d holds stand at once:%s", count, standing)
	}
}
