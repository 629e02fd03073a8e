package controller

import (
	"math/rand"
	"os"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// setSize is how many acceptors bear the loss of the fault budget.
func (c *Controller) setSize() int { return 2*c.Node.Settings.Budget() + 1 }

// reconcileSet keeps the acceptor set whole: this process joins it in the place of its
// own forgotten self or of a member that is gone, and ends changes that were left
// half done. Each process only ever proposes itself.
func (c *Controller) reconcileSet() {
	known := c.Register.Known()
	if len(known.Acceptors) == 0 {
		c.syncSets()
		return
	}
	tending := c.setReconciler(known)
	// Who has not heard a majority on the workers takes no place yet: it would count for
	// what it does not know.
	tending.Votes = tending.Votes && !c.recovering()
	if !c.Register.NeedsReconcile(tending) {
		return
	}
	c.stagger()
	value, changed, err := c.Register.ReconcileSet(tending)
	if err != nil {
		c.Node.Log.Warn("set not changed", "why", err.Error())
		// The members known may all be gone.
		c.syncSets()
		return
	}
	if changed {
		c.Node.Log.Info("set changed", "epoch", value.SetEpoch, "members", len(value.Acceptors))
	}
}

// reachesQuorum tells whether a majority of a register's sets answers this process now. One that
// is cut off would take its own deafness for the silence of a member, and have a live one
// replaced as soon as the cut ends.
func (c *Controller) reachesQuorum(known messages.RegisterValue) bool {
	members := register.Targets(&known)
	heard := make(chan string, len(members))
	for _, member := range members {
		go func() {
			if member.Address == c.Node.Self.Address || c.responds(member.Address) {
				heard <- register.Identity(member)
				return
			}
			heard <- ""
		}()
	}
	answered := map[string]bool{}
	for range members {
		answered[<-heard] = true
	}
	return register.Quorum(&known, answered)
}

// stagger parts several newcomers that would propose at once by a short random pause; a
// process that has just started takes its place without one.
func (c *Controller) stagger() {
	if clock.Now().Sub(c.startedAt) > constants.LeaseDuration {
		clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ReconcilePeriod))))
	}
}

// setReconciler gathers what the decision on the set needs.
func (c *Controller) setReconciler(known messages.RegisterValue) register.SetReconciler {
	blank := map[string]bool{}
	for _, entry := range c.Node.Live(membership.RoleController) {
		blank[entry.Address] = entry.Disk == ""
	}
	return register.SetReconciler{Votes: isVoter(c.Node.Settings), Size: c.setSize(),
		Diskless: func(member messages.Member) bool { return blank[member.Address] },
		Departed: func(member messages.Member) bool { return c.isSilent(member) && c.reachesQuorum(known) }}
}

// isVoter tells whether a process takes part in the register: one without a disk
// forgets at each start what it promised. Where no control machine has a disk, the
// settings count those without one in the quorum all the same.
func isVoter(nodeSettings *settings.Settings) bool {
	return nodeSettings.DataDir != "" || nodeSettings.InQuorum
}

// openDisk gives the folder of the settings, or one in memory where there is none.
func openDisk(nodeSettings *settings.Settings) (recordlog.Disk, error) {
	if nodeSettings.DataDir == "" {
		return recordlog.NewMemoryDisk(), nil
	}
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, registerserver.ErrDisk.Wrap(err, "data-dir")
	}
	return recordlog.Directory(nodeSettings.DataDir), nil
}

// toleratesBudget tells whether what is acknowledged now outlasts the fault budget. A smaller
// set has to do only where nobody else is there to join it.
func (c *Controller) toleratesBudget(value *messages.RegisterValue) bool {
	inside, responded := map[string]bool{}, map[string]bool{}
	for _, member := range value.Acceptors {
		inside[member.Address] = true
	}
	var outside []string
	for _, entry := range c.Node.Live(membership.RoleController) {
		responded[entry.Address] = entry.Disk != ""
		if entry.Disk != "" && !inside[entry.Address] {
			outside = append(outside, entry.Address)
		}
	}
	young := clock.Now().Sub(c.startedAt) <= constants.SetGrowthTimeout
	for _, member := range value.Acceptors {
		// At the first start a seed may turn out to have no disk: it gives way first.
		if young && c.Node.Settings.Bootstrap && member.Address != c.Node.Self.Address && !responded[member.Address] {
			return false
		}
	}
	own := 0
	if isVoter(c.Node.Settings) && !inside[c.Register.Identity().Address] {
		own = 1
	}
	if register.ToleratesBudget(value, c.setSize(), len(outside)+own) {
		return true
	}
	// What was heard of may be gone: after the time to grow, who answers counts.
	return !young && register.ToleratesBudget(value, c.setSize(), c.countResponding(outside)+own)
}

// countResponding counts the controllers that answer now.
func (c *Controller) countResponding(addresses []string) int {
	responses := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { responses <- c.responds(address) }()
	}
	count := 0
	for range addresses {
		if <-responses {
			count++
		}
	}
	return count
}

// responds tells whether a controller answers a small question now, also one that has
// just started.
func (c *Controller) responds(address string) bool {
	req, resp := &messages.ContactRequest{From: c.Node.Self.Address}, &messages.ContactResponse{}
	return transport.Call(c.Node.Transport, address, messages.KindContact, req, resp, constants.RoundTimeout) == nil
}

// isSilent tells whether nobody has heard a member for long. One in our own zone is
// taken for replaced by us, and sooner: until we have its place, the set bears one
// loss less.
func (c *Controller) isSilent(member messages.Member) bool {
	patience, age, known := constants.ReplaceAfter, int64(0), false
	for _, entry := range c.Node.All(membership.RoleController) {
		if entry.Address != member.Address || (known && entry.AgeMs >= age) {
			continue
		}
		age, known = entry.AgeMs, true
		if entry.Zone == c.Node.Self.Zone {
			patience = constants.SucceedAfter
		}
	}
	if known && age < patience.Milliseconds() {
		return false
	}
	// Who has just started knows too little of who was silent for how long.
	up := clock.Now().Sub(c.startedAt)
	if (!known && up < constants.SuspectAfter) || up < constants.LeaseDuration {
		return false
	}
	// It is asked itself: one that answers now is not gone.
	return !c.responds(member.Address)
}

// handleRegisterChange changes duty or store set on behalf of a store.
func (c *Controller) handleRegisterChange(req *messages.RegisterChangeRequest) (transport.Marshaler, error) {
	done := false
	change := register.SetStores(req.Holder, req.Stores, &done)
	if req.Campaign {
		change = register.Campaign(req.Holder, req.ExpectEpoch, req.Stores, &done)
	}
	value, err := c.Register.Change(change)
	if err != nil {
		return nil, err
	}
	value.Body = nil
	return &messages.RegisterResponse{Applied: done, Known: true, Value: value}, nil
}
