package locker

import (
	"math/rand"
	"strings"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
)

// holderQuiet is how long a holder may say nothing before others ask for its
// duty (ours): its hold ends about then anyway.
const holderQuiet = almanac.HoldTime - almanac.HoldMargin

// campaign keeps the duty while we hold it and asks for it while nobody does.
func (locker *Locker) campaign() {
	for {
		select {
		case <-locker.Stand.Stop:
			return
		case <-watch.After(locker.step()):
		}
	}
}

// step does what is due and gives the time until the next step.
func (locker *Locker) step() watch.Span {
	if current := locker.current(); current != nil {
		return locker.renew(current)
	}
	locker.lock.Lock()
	told, toldAt, readAt := locker.told, locker.toldAt, locker.read
	locker.lock.Unlock()
	now := watch.Now()
	if toldAt > 0 && now.Since(toldAt) < holderQuiet && told.Address != locker.Stand.Own.Address {
		return almanac.TickPeriod * 2
	}
	if now.Since(readAt) > almanac.HoldRenewal || readAt == 0 {
		if !locker.readRegister() {
			return almanac.TickPeriod * 4
		}
	}
	if !locker.eligible() || locker.defers(now) {
		return almanac.TickPeriod * 4
	}
	return locker.stand()
}

// eligible tells whether we may hold the duty: only a member of the set has all
// the records, and one that is being emptied should not begin anew.
func (locker *Locker) eligible() bool {
	locker.lock.Lock()
	value := locker.value
	locker.lock.Unlock()
	if locker.leaving.Load() || locker.rests() {
		return false
	}
	for _, name := range value.Retired {
		if name == locker.Stand.Own.Name {
			return false
		}
	}
	if len(value.Stores) == 0 {
		return len(locker.firstStores()) > 0
	}
	for _, member := range value.Stores {
		if vise.Identity(member) == vise.Identity(locker.member()) {
			return true
		}
	}
	return false
}

// firstStores proposes the set of the first start: one store in each hall as far
// as that goes, as many as bear the fault budget.
func (locker *Locker) firstStores() []pattern.Member {
	size := 2*locker.budget() + 1
	known := []pattern.Member{locker.member()}
	for _, entry := range locker.Stand.Live(bellows.RoleLocker) {
		known = append(known, pattern.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Hall: entry.Hall})
	}
	// Wait for the others as long as the start may take.
	if len(known) < size && watch.Now().Since(locker.begun) < almanac.FirstMeeting {
		return nil
	}
	var chosen []pattern.Member
	taken, halls := map[string]bool{}, map[string]bool{}
	for _, spread := range []bool{true, false} {
		for _, member := range known {
			if len(chosen) < size && !taken[member.Name] && (!spread || !halls[member.Hall]) {
				taken[member.Name], halls[member.Hall] = true, true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}

// readRegister learns sets and duty from a foreman.
func (locker *Locker) readRegister() bool {
	for _, address := range locker.foremen() {
		answer := &pattern.DutyChanged{}
		if tongs.Ask(locker.Stand.Wire, address, pattern.KindRegisterRead, &pattern.Nothing{}, answer, almanac.CallTime) != nil || !answer.Done {
			continue
		}
		locker.lock.Lock()
		locker.value, locker.read = answer.Value, watch.Now()
		locker.lock.Unlock()
		return true
	}
	return false
}

func (locker *Locker) foremen() []string {
	var near, far []string
	for _, entry := range locker.Stand.Live(bellows.RoleForeman) {
		if entry.Hall == locker.Stand.Own.Hall {
			near = append(near, entry.Address)
		} else {
			far = append(far, entry.Address)
		}
	}
	rand.Shuffle(len(far), func(left, right int) { far[left], far[right] = far[right], far[left] })
	addresses := append(near, far...)
	if len(addresses) == 0 {
		return locker.Stand.Boot.SeedAddresses(almanac.PortForeman)
	}
	return addresses
}

// ask puts a question to every acceptor and tells whether a majority granted it.
// It does not wait for those that stay silent once the others have decided.
func (locker *Locker) ask(question pattern.HoldAsk) (granted bool, latest uint64) {
	locker.lock.Lock()
	acceptors := locker.value.Acceptors
	locker.lock.Unlock()
	type heard struct {
		identity string
		answer   pattern.HoldAnswer
		failed   bool
	}
	answers := make(chan heard, len(acceptors))
	for _, member := range acceptors {
		go func() {
			one := heard{identity: vise.Identity(member)}
			one.failed = tongs.Ask(locker.Stand.Wire, member.Address, pattern.KindAsk, &question, &one.answer, almanac.HoldRenewal) != nil
			answers <- one
		}()
	}
	answered := map[string]bool{}
	for range acceptors {
		one := <-answers
		if one.failed {
			continue
		}
		latest = max(latest, one.answer.Epoch)
		answered[one.identity] = one.answer.Granted
		if vise.Majority(acceptors, answered) {
			return true, latest
		}
	}
	return false, latest
}

// renew extends our hold; it is given up when it can't be.
func (locker *Locker) renew(current *reign) watch.Span {
	asked := watch.Now()
	granted, latest := locker.ask(pattern.HoldAsk{Candidate: locker.Stand.Own.Name, Life: locker.Stand.Own.Life, Epoch: current.duty.Epoch})
	if granted && latest <= current.duty.Epoch {
		locker.lock.Lock()
		locker.hold.Renewed(asked)
		locker.lock.Unlock()
	}
	switch {
	case latest > current.duty.Epoch:
		current.end("the register names a later epoch")
	case !locker.holds():
		current.end("hold ran out")
	}
	return max(almanac.HoldRenewal-watch.Now().Since(asked), almanac.TickPeriod)
}

func (locker *Locker) release() {
	locker.lock.Lock()
	locker.hold.Drop()
	epoch := locker.value.Duty.Epoch
	locker.lock.Unlock()
	locker.ask(pattern.HoldAsk{Candidate: locker.Stand.Own.Name, Life: locker.Stand.Own.Life, Epoch: epoch, Release: true})
}

// stand asks for the duty, and takes it in the register once a majority grants
// the hold.
func (locker *Locker) stand() watch.Span {
	locker.lock.Lock()
	value := locker.value
	locker.lock.Unlock()
	pause := almanac.TickPeriod*3 + watch.Span(rand.Int63n(int64(almanac.HoldRenewal)))
	asked := watch.Now()
	own := locker.Stand.Own
	granted, _ := locker.ask(pattern.HoldAsk{Candidate: own.Name, Life: own.Life, Epoch: value.Duty.Epoch})
	if !granted {
		// Two candidates must not keep each other out by halves.
		locker.release()
		return pause
	}
	stores := value.Stores
	if len(stores) == 0 {
		stores = locker.firstStores()
	}
	change := &pattern.DutyChange{Take: true, ExpectEpoch: value.Duty.Epoch, Stores: stores,
		Holder: pattern.Duty{Holder: own.Name, Life: own.Life, Address: own.Address}}
	changed, known := locker.changeDuty(change)
	if !known || !changed.Done {
		locker.release()
		return pause
	}
	locker.lock.Lock()
	locker.value, locker.read = changed.Value, watch.Now()
	locker.hold.Renewed(asked)
	next := newReign(locker, changed.Value.Duty, changed.Value.Stores, 1)
	locker.reign = next
	locker.lock.Unlock()
	var names []string
	for _, member := range changed.Value.Stores {
		names = append(names, member.Name)
	}
	locker.Stand.Log.Info("duty taken", "epoch", next.duty.Epoch, "stores", strings.Join(names, ","))
	go next.takeOver()
	return almanac.TickPeriod
}

// changeDuty has a foreman change the register; known is false where the outcome
// can't be told.
func (locker *Locker) changeDuty(change *pattern.DutyChange) (*pattern.DutyChanged, bool) {
	for _, address := range locker.foremen() {
		answer := &pattern.DutyChanged{}
		if tongs.Ask(locker.Stand.Wire, address, pattern.KindDutyChange, change, answer, almanac.RegisterTime) == nil {
			return answer, true
		}
	}
	return nil, false
}
