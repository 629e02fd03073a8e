package registerserver

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// errNoResponse is the error of a member that does not answer a small request now.
var errNoResponse = errs.Define("member does not respond")

// SetMaintainer keeps the acceptor set of a register complete: this process joins it in the
// place of its own earlier disk or of a member that is gone, and ends changes that were
// left half done. Each process only ever proposes itself.
type SetMaintainer struct {
	replica *Replica
	// mayJoin, where set, says whether this process may take a place in the set yet.
	mayJoin func() bool
}

// NewSetMaintainer makes the maintainer of a register's set. mayJoin may be nil.
func NewSetMaintainer(replica *Replica, mayJoin func() bool) *SetMaintainer {
	return &SetMaintainer{replica: replica, mayJoin: mayJoin}
}

// Reconcile looks whether the set needs a change that is for this process to propose, and
// proposes it. It is called once a constants.ReconcilePeriod and may take as long as a
// change of the register does.
func (m *SetMaintainer) Reconcile() {
	known := m.replica.Known()
	if len(known.Acceptors) == 0 {
		m.replica.SyncSets()
		return
	}
	reconciler := m.reconciler(known)
	if !m.replica.NeedsReconcile(reconciler) {
		return
	}
	m.stagger()
	log := m.replica.Node.Log
	value, changed, err := m.replica.ReconcileSet(reconciler)
	if err != nil {
		log.Warn("acceptor set not changed", "register", m.replica.Name, "err", err.Error())
		// The members known may all be gone.
		m.replica.SyncSets()
		return
	}
	if changed {
		log.Info("acceptor set changed", "register", m.replica.Name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// reconciler gathers what the decision on the set needs.
func (m *SetMaintainer) reconciler(known messages.RegisterValue) register.SetReconciler {
	diskless := map[string]bool{}
	for _, entry := range m.replica.Node.Live(membership.RoleController) {
		diskless[entry.Address] = entry.Disk == ""
	}
	return register.SetReconciler{
		Votes:    Votes(m.replica.Node.Settings) && (m.mayJoin == nil || m.mayJoin()),
		Size:     m.SetSize(),
		Diskless: func(member messages.Member) bool { return diskless[member.Address] },
		Departed: func(member messages.Member) bool { return m.isUnresponsive(member) && m.reachesQuorum(known) },
	}
}

// SetSize is how many acceptors tolerate the loss of the fault budget.
func (m *SetMaintainer) SetSize() int { return 2*m.replica.Node.Settings.Budget() + 1 }

// Votes tells whether a process takes part in the registers: one without a disk forgets at
// each start what it promised. Where no control machine has a disk, the settings count
// those without one in the quorum all the same.
func Votes(nodeSettings *settings.Settings) bool {
	return nodeSettings.DataDir != "" || nodeSettings.InQuorum
}

// stagger parts several joiners that would propose at once by a short random pause; a
// process that has just started takes its place without one.
func (m *SetMaintainer) stagger() {
	if clock.Now().Sub(m.replica.Node.StartedAt) > constants.LeaseDuration {
		clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ReconcilePeriod))))
	}
}

// reachesQuorum tells whether a majority of a register's sets answers this process now. One
// that is cut off would take its own isolation for the silence of a member, and have a live
// one replaced as soon as the partition ends.
func (m *SetMaintainer) reachesQuorum(known messages.RegisterValue) bool {
	call := func(member messages.Member) (messages.Member, bool, error) {
		if member.Address == m.replica.Node.Self.Address || m.responds(member.Address) {
			return member, true, nil
		}
		return member, false, errNoResponse
	}
	return QuorumCall(&known, 0, call, func(bool) bool { return true })
}

// isUnresponsive tells whether nobody was in contact with a member for long. One in this process's
// own zone is taken for replaced by this one, and sooner: until the place is taken, the set
// tolerates one loss less.
func (m *SetMaintainer) isUnresponsive(member messages.Member) bool {
	limit, age, known := constants.ReplaceAfter, int64(0), false
	for _, entry := range m.replica.Node.All(membership.RoleController) {
		if entry.Address != member.Address || (known && entry.AgeMs >= age) {
			continue
		}
		age, known = entry.AgeMs, true
		if entry.Zone == m.replica.Node.Self.Zone {
			limit = constants.SucceedAfter
		}
	}
	if known && age < limit.Milliseconds() {
		return false
	}
	// Who has just started knows too little of who was silent for how long.
	uptime := clock.Now().Sub(m.replica.Node.StartedAt)
	if (!known && uptime < constants.SuspectAfter) || uptime < constants.LeaseDuration {
		return false
	}
	// It is asked itself: one that answers now is not gone.
	return !m.responds(member.Address)
}

// responds tells whether a controller answers a small request now, also one that has just
// started.
func (m *SetMaintainer) responds(address string) bool {
	req, resp := &messages.ContactRequest{From: m.replica.Node.Self.Address}, &messages.ContactResponse{}
	return transport.Call(m.replica.Node.Transport, address, messages.KindContact, req, resp, constants.RoundTimeout) == nil
}

// ToleratesBudget tells whether what a value's sets acknowledge now outlasts the fault
// budget. A smaller set has to do only where nobody else is there to join it.
func (m *SetMaintainer) ToleratesBudget(value *messages.RegisterValue) bool {
	node := m.replica.Node
	inside, hasDisk := map[string]bool{}, map[string]bool{}
	for _, member := range value.Acceptors {
		inside[member.Address] = true
	}
	var outside []string
	for _, entry := range node.Live(membership.RoleController) {
		hasDisk[entry.Address] = entry.Disk != ""
		if entry.Disk != "" && !inside[entry.Address] {
			outside = append(outside, entry.Address)
		}
	}
	young := clock.Now().Sub(node.StartedAt) <= constants.SetGrowthTimeout
	for _, member := range value.Acceptors {
		// At the first start a seed may turn out to have no disk: it gives way first.
		if young && node.Settings.Bootstrap && member.Address != node.Self.Address && !hasDisk[member.Address] {
			return false
		}
	}
	self := 0
	if Votes(node.Settings) && !inside[node.Self.Address] {
		self = 1
	}
	if register.ToleratesBudget(value, m.SetSize(), len(outside)+self) {
		return true
	}
	// What was in contact may be gone: after the time to grow, who answers counts.
	return !young && register.ToleratesBudget(value, m.SetSize(), m.countResponding(outside)+self)
}

// countResponding counts the controllers that answer now.
func (m *SetMaintainer) countResponding(addresses []string) int {
	responses := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { responses <- m.responds(address) }()
	}
	count := 0
	for range addresses {
		if <-responses {
			count++
		}
	}
	return count
}

// CommitTolerant runs a replacement of the register's value until the set that holds it
// tolerates the fault budget, or the bound of a call has passed. In force in a smaller set,
// the value could be taken away again by the losses of the budget, so it is acknowledged
// only once the set is complete, which takes the value along. waits says for which results
// that is waited for.
func (m *SetMaintainer) CommitTolerant(version messages.Version, body []byte, waits func(register.Result) bool) (messages.RegisterValue, register.Result, error) {
	value, result, err := m.replica.Replace(version, body)
	for end := clock.Now().Add(constants.CallTimeout); err == nil && waits(result) && !m.ToleratesBudget(&value); {
		if clock.Now() > end {
			return value, result, register.ErrOutcomeUnknown.New("the set of acceptors is still growing")
		}
		clock.Sleep(constants.TickPeriod)
		value, result, err = m.replica.Replace(version, body)
	}
	return value, result, err
}
