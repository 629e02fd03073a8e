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
	// leaseHistories is the number of histories run for each check of package rapid, since they
	// are short.
	leaseHistories = 15
	// slowest and fastest bound the rates of the monotonic clocks relative to true time.
	slowest, fastest = 0.9, 1.1
)

// leaseNode is an acceptor and a candidate on one machine with its own clock.
type leaseNode struct {
	rate      float64
	startedAt clock.Instant
	// grants and view belong to the acceptor: its lease grants, and the leadership as named in
	// its register value.
	grants *lease.Grantor
	view   messages.Leadership
	// lease, term and known belong to the candidate: term is its own leadership while it is the
	// leader, and known the newest leadership that it knows of.
	name        string
	incarnation int64
	sequence    uint64
	// current is the only round whose responses the candidate still accepts.
	current *round
	lease   lease.Lease
	term    messages.Leadership
	known   messages.Leadership
}

// round is one lease request sent to all acceptors.
type round struct {
	from        int
	request     messages.LeaseRequest
	sentAt      clock.Instant
	renews      bool
	granted     map[int]bool
	latestEpoch uint64
}

// leaseModel simulates candidates that acquire, renew and release one leadership, as stores do.
type leaseModel struct {
	now        clock.Instant
	nodes      [leaseNodes]leaseNode
	leadership messages.Leadership
	inFlight   []func(rt *rapid.T)
	names      []string
	acquired   int
}

func newLeaseModel(rt *rapid.T) *leaseModel {
	model := &leaseModel{}
	for i := range model.nodes {
		rate := rapid.Float64Range(slowest, fastest).Draw(rt, "rate")
		model.nodes[i] = leaseNode{rate: rate, name: fmt.Sprint("n", i), incarnation: 1, grants: lease.NewGrantor(0, true)}
	}
	return model
}

// clock returns the monotonic clock of a machine's process.
func (l *leaseModel) clock(i int) clock.Instant {
	node := &l.nodes[i]
	return clock.Instant(float64(l.now-node.startedAt) * node.rate)
}

func (l *leaseModel) send(name string, function func(rt *rapid.T)) {
	l.inFlight, l.names = append(l.inFlight, function), append(l.names, name)
}

func drawNode(rt *rapid.T) int { return rapid.IntRange(0, leaseNodes-1).Draw(rt, "node") }

func (l *leaseModel) advance(rt *rapid.T) {
	l.now = l.now.Add(clock.Milliseconds(float64(rapid.IntRange(1, 500).Draw(rt, "ms"))))
}

// startRound starts a round of a random candidate: it renews the lease that it holds, or tries
// to acquire leadership.
func (l *leaseModel) startRound(rt *rapid.T) {
	i := drawNode(rt)
	node := &l.nodes[i]
	if node.term.Epoch > 0 && !node.lease.Valid(l.clock(i)) {
		node.term = messages.Leadership{}
	}
	req := messages.LeaseRequest{Candidate: node.name, Incarnation: node.incarnation, Epoch: node.known.Epoch}
	if node.term.Epoch > 0 {
		req.Epoch = node.term.Epoch
	}
	current := &round{from: i, request: req, sentAt: l.clock(i), renews: node.term.Epoch > 0, granted: map[int]bool{}}
	l.sendRound(current)
}

func (l *leaseModel) sendRound(current *round) {
	node := &l.nodes[current.from]
	node.sequence++
	current.request.Sequence = node.sequence
	node.current = current
	for target := range l.nodes {
		l.send(fmt.Sprintf("%v to n%d", current.request, target), func(*rapid.T) {
			acceptor := &l.nodes[target]
			resp := acceptor.grants.Grant(current.request, acceptor.view, l.clock(target))
			l.send(fmt.Sprintf("n%d responds to %v: %v", target, current.request, resp), func(rt *rapid.T) {
				l.handleResponse(rt, current, target, resp)
			})
		})
	}
}

func (l *leaseModel) handleResponse(rt *rapid.T, current *round, from int, resp messages.LeaseResponse) {
	node := &l.nodes[current.from]
	if node.current != current || current.request.Release {
		return
	}
	current.granted[from] = resp.Granted
	current.latestEpoch = max(current.latestEpoch, resp.Epoch)
	granted := 0
	for _, grantedHere := range current.granted {
		if grantedHere {
			granted++
		}
	}
	if granted*2 <= leaseNodes {
		return
	}
	node.current = nil
	switch {
	case current.renews:
		if current.latestEpoch <= current.request.Epoch && node.term.Epoch == current.request.Epoch {
			node.lease.Renewed(current.sentAt)
		}
	case l.leadership.Epoch == current.request.Epoch:
		l.acquire(rt, node, current)
	default:
		l.release(node, current.from)
	}
}

// acquire raises the epoch in the register, which a majority of the acceptors then knows.
func (l *leaseModel) acquire(rt *rapid.T, node *leaseNode, current *round) {
	l.leadership = messages.Leadership{Holder: node.name, Incarnation: node.incarnation, Epoch: l.leadership.Epoch + 1}
	uninformed := rapid.IntRange(0, leaseNodes).Draw(rt, "uninformed acceptor")
	for i := range l.nodes {
		if i != uninformed {
			l.nodes[i].view = l.leadership
		}
	}
	node.term, node.known = l.leadership, l.leadership
	node.lease.Renewed(current.sentAt)
	l.acquired++
}

// release releases what was granted.
func (l *leaseModel) release(node *leaseNode, i int) {
	node.lease.Revoke()
	node.term = messages.Leadership{}
	l.sendRound(&round{from: i, request: messages.LeaseRequest{Candidate: node.name, Incarnation: node.incarnation, Epoch: node.known.Epoch, Release: true}})
}

// giveUp releases the lease of a candidate that was not granted leadership in time or is
// leaving.
func (l *leaseModel) giveUp(rt *rapid.T) {
	i := drawNode(rt)
	l.release(&l.nodes[i], i)
}

func (l *leaseModel) deliver(rt *rapid.T) {
	if len(l.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.inFlight)-1).Draw(rt, "message")
	rt.Log(l.names[i])
	function := l.inFlight[i]
	if !rapid.Bool().Draw(rt, "again") {
		l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
		l.names = append(l.names[:i], l.names[i+1:]...)
	}
	function(rt)
}

// exchange runs a round in which most messages arrive immediately. The others stay in flight.
func (l *leaseModel) exchange(rt *rapid.T) {
	before := len(l.inFlight)
	if rapid.Bool().Draw(rt, "up to date") {
		for i := range l.nodes {
			l.nodes[i].known = l.leadership
		}
	}
	l.startRound(rt)
	for i := before; i < len(l.inFlight); {
		if rapid.IntRange(0, 3).Draw(rt, "late") == 0 {
			i++
			continue
		}
		rt.Log(l.names[i])
		function := l.inFlight[i]
		l.inFlight = append(l.inFlight[:i], l.inFlight[i+1:]...)
		l.names = append(l.names[:i], l.names[i+1:]...)
		function(rt)
	}
}

// restart begins a machine's next incarnation: its clock restarts, the acceptor keeps its
// register value and loses its grants, and the candidate loses all state.
func (l *leaseModel) restart(rt *rapid.T) {
	node := &l.nodes[drawNode(rt)]
	node.startedAt, node.incarnation, node.sequence = l.now, node.incarnation+1, 0
	node.grants, node.lease, node.current = lease.NewGrantor(0, false), lease.Lease{}, nil
	node.term, node.known = messages.Leadership{}, messages.Leadership{}
}

func (l *leaseModel) check(rt *rapid.T) {
	holders := ""
	count := 0
	for i := range l.nodes {
		if node := &l.nodes[i]; node.term.Epoch > 0 && node.lease.Valid(l.clock(i)) {
			holders += fmt.Sprintf(" %s in epoch %d", node.name, node.term.Epoch)
			count++
		}
	}
	if count > 1 {
		rt.Fatalf("%d leases are valid at once, want at most 1:%s", count, holders)
	}
}
