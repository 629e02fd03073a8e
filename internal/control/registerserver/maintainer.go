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

// errNoResponse is the error of a member that does not respond to a contact request.
var errNoResponse = errs.Define("member does not respond")

// SetMaintainer keeps the acceptor set of a register complete: this process joins a set that is too
// small, or takes the place of its own earlier disk, of a member without a disk or of a departed
// member, and it ends incomplete set changes. Each process only ever proposes itself.
type SetMaintainer struct {
	replica *Replica
	// mayJoin, if set, reports whether this process may join the set yet.
	mayJoin func() bool
}

// NewSetMaintainer returns the maintainer of a register's set. mayJoin may be nil.
func NewSetMaintainer(replica *Replica, mayJoin func() bool) *SetMaintainer {
	return &SetMaintainer{replica: replica, mayJoin: mayJoin}
}

// Reconcile checks whether this process has to propose a change of the set, and proposes it. It is
// called once per constants.ReconcilePeriod and may take as long as a change of the register.
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
		log.Warn("failed to change acceptor set", "register", m.replica.Name, "err", err.Error())
		// All known members may be gone.
		m.replica.SyncSets()
		return
	}
	if changed {
		log.Info("acceptor set changed", "register", m.replica.Name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// reconciler returns the input for the decision on the set.
func (m *SetMaintainer) reconciler(known messages.RegisterValue) register.SetReconciler {
	diskless := map[string]bool{}
	for _, controller := range m.replica.Node.Live(membership.RoleController) {
		diskless[controller.Address] = controller.Disk == ""
	}
	return register.SetReconciler{
		Votes:    Votes(m.replica.Node.Settings) && (m.mayJoin == nil || m.mayJoin()),
		Size:     m.SetSize(),
		Diskless: func(member messages.Member) bool { return diskless[member.Address] },
		Departed: func(member messages.Member) bool { return m.isUnresponsive(member) && m.reachesQuorum(known) },
	}
}

// SetSize returns the number of acceptors that tolerates the loss of the fault budget.
func (m *SetMaintainer) SetSize() int { return 2*m.replica.Node.Settings.Budget() + 1 }

// Votes reports whether a process may be an acceptor. A process without a disk loses its promises
// at each start, so it may not, unless the settings count it in the quorum, which they do if no
// controller machine has a disk.
func Votes(nodeSettings *settings.Settings) bool {
	return nodeSettings.DataDir != "" || nodeSettings.InQuorum
}

// stagger waits for a short random time, so that several joiners do not propose at the same moment.
// A process that has just started does not wait.
func (m *SetMaintainer) stagger() {
	if clock.Now().Sub(m.replica.Node.StartedAt) > constants.LeaseDuration {
		clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ReconcilePeriod))))
	}
}

// reachesQuorum reports whether a majority of a register's sets responds to this process now. A
// process that is partitioned would otherwise take its own isolation for the failure of a member,
// and replace a live member as soon as the partition ends.
func (m *SetMaintainer) reachesQuorum(known messages.RegisterValue) bool {
	call := func(member messages.Member) (messages.Member, bool, error) {
		if member.Address == m.replica.Node.Self.Address || m.responds(member.Address) {
			return member, true, nil
		}
		return member, false, errNoResponse
	}
	return QuorumCall(&known, 0, call, func(bool) bool { return true })
}

// isUnresponsive reports whether no process was in contact with a member for
// constants.ReplaceAfter, and the member does not respond to this process now either. For a member
// in this process's own zone the shorter constants.ReplaceInZoneAfter applies: this process is
// assumed to be the member's replacement, and until it has joined, the set tolerates one loss less.
func (m *SetMaintainer) isUnresponsive(member messages.Member) bool {
	limit, age, known := constants.ReplaceAfter, int64(0), false
	for _, controller := range m.replica.Node.All(membership.RoleController) {
		if controller.Address != member.Address || (known && controller.AgeMs >= age) {
			continue
		}
		age, known = controller.AgeMs, true
		if controller.Zone == m.replica.Node.Self.Zone {
			limit = constants.ReplaceInZoneAfter
		}
	}
	if known && age < limit.Milliseconds() {
		return false
	}
	// A process that has just started does not know yet how long a member has been unreachable.
	uptime := clock.Now().Sub(m.replica.Node.StartedAt)
	if (!known && uptime < constants.SuspectAfter) || uptime < constants.LeaseDuration {
		return false
	}
	// A member that responds now is not gone.
	return !m.responds(member.Address)
}

// responds reports whether a controller responds to a contact request now. A controller that has
// just started responds as well.
func (m *SetMaintainer) responds(address string) bool {
	req, resp := &messages.ContactRequest{From: m.replica.Node.Self.Address}, &messages.ContactResponse{}
	return transport.Call(m.replica.Node.Transport, address, messages.KindContact, req, resp, constants.RoundTimeout) == nil
}

// ToleratesBudget reports whether what a value's sets acknowledge now survives the loss of the
// fault budget. A smaller set is accepted only if there is no other process that could join it.
func (m *SetMaintainer) ToleratesBudget(value *messages.RegisterValue) bool {
	node := m.replica.Node
	inside, hasDisk := map[string]bool{}, map[string]bool{}
	for _, member := range value.Acceptors {
		inside[member.Address] = true
	}
	var outside []string
	for _, controller := range node.Live(membership.RoleController) {
		hasDisk[controller.Address] = controller.Disk != ""
		if controller.Disk != "" && !inside[controller.Address] {
			outside = append(outside, controller.Address)
		}
	}
	mayGrow := clock.Now().Sub(node.StartedAt) <= constants.SetGrowthTimeout
	for _, member := range value.Acceptors {
		// At the first start a seed may turn out to have no disk; it has to be replaced first.
		if mayGrow && node.Settings.Bootstrap && member.Address != node.Self.Address && !hasDisk[member.Address] {
			return false
		}
	}
	selfJoins := 0
	if Votes(node.Settings) && !inside[node.Self.Address] {
		selfJoins = 1
	}
	if register.ToleratesBudget(value, m.SetSize(), len(outside)+selfJoins) {
		return true
	}
	// Processes that were in contact may be gone: once constants.SetGrowthTimeout has passed, only
	// those that respond now are counted.
	return !mayGrow && register.ToleratesBudget(value, m.SetSize(), m.countResponding(outside)+selfJoins)
}

// countResponding returns the number of controllers that respond now.
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

// CommitTolerant repeats a replacement of the register's value until the set that accepted it
// tolerates the fault budget, or constants.CallTimeout has passed. A value in force in a smaller
// set could be lost within the budget, so it is acknowledged only once the set is complete;
// completing the set carries the value over. shouldWait reports for which results to wait.
func (m *SetMaintainer) CommitTolerant(version messages.Version, body []byte, shouldWait func(register.Result) bool) (messages.RegisterValue, register.Result, error) {
	value, result, err := m.replica.Replace(version, body)
	for deadline := clock.Now().Add(constants.CallTimeout); err == nil && shouldWait(result) && !m.ToleratesBudget(&value); {
		if clock.Now() > deadline {
			return value, result, register.ErrOutcomeUnknown.New("the set of acceptors is still growing")
		}
		clock.Sleep(constants.TickPeriod)
		value, result, err = m.replica.Replace(version, body)
	}
	return value, result, err
}
