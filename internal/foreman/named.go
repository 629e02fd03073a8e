package foreman

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/vise"
	"lemonarch/internal/watch"
	"lemonarch/internal/whetstone"
)

// Named registers stand beside the configuration: the same machines, the same two
// rounds, but ballots, sets and records on disk of their own, so that a write to
// one never meets a write to another.

// PlansRegister is the register of the assignments.
const PlansRegister = "plans"

// openNamed opens the register of that name.
func openNamed(disk whetstone.Disk, name string, first []pattern.Member, identity string) (*Register, error) {
	register, failure := openRegister(disk, stoneName+"-"+name, first, identity)
	if failure == nil {
		register.name = name
	}
	return register, failure
}

// prepare gives a message of the first round as it goes to the other acceptors.
func (register *Register) prepare(question *pattern.Prepare) (pattern.Kind, tongs.Writable) {
	if register.name == "" {
		return pattern.KindPrepare, question
	}
	return pattern.KindNamedPrepare, &pattern.NamedPrepare{Name: register.name, Prepare: *question}
}

// accept gives a message of the second round.
func (register *Register) accept(question *pattern.Accept) (pattern.Kind, tongs.Writable) {
	if register.name == "" {
		return pattern.KindAccept, question
	}
	return pattern.KindNamedAccept, &pattern.NamedAccept{Name: register.name, Accept: *question}
}

// called gives the register of a name. There is one so far.
func (foreman *Foreman) called(name string) (*Register, error) {
	if name != PlansRegister {
		return nil, trestle.Unable.New("no register is named " + name)
	}
	return foreman.plans.register, nil
}

func (foreman *Foreman) namedAnswerers() {
	stand := foreman.Stand
	stand.Answer(pattern.KindNamedPrepare, answer(func(question *pattern.NamedPrepare) (tongs.Writable, error) {
		register, failure := foreman.called(question.Name)
		if failure != nil {
			return nil, failure
		}
		back, failure := register.Prepare(&question.Prepare)
		return &back, failure
	}))
	stand.Answer(pattern.KindNamedAccept, answer(func(question *pattern.NamedAccept) (tongs.Writable, error) {
		register, failure := foreman.called(question.Name)
		if failure != nil {
			return nil, failure
		}
		back, failure := register.Accept(&question.Accept)
		return &back, failure
	}))
	stand.Answer(pattern.KindNamedRead, answer(func(question *pattern.NamedAsk) (tongs.Writable, error) {
		register, failure := foreman.called(question.Name)
		if failure != nil {
			return nil, failure
		}
		// Good for its sets only: it may not have been chosen.
		value := register.Known()
		value.Body = nil
		return &pattern.DutyChanged{Known: true, Value: value}, nil
	}))
}

// tendNamed keeps the acceptor set of a named register whole, as tendSet does for
// the configuration.
func (foreman *Foreman) tendNamed(register *Register) {
	known := register.Known()
	if len(known.Acceptors) == 0 {
		foreman.learnNamed(register)
		return
	}
	// Chance keeps several newcomers from proposing at once.
	if rand.Intn(2) == 0 && watch.Now().Since(foreman.begun) > almanac.HoldTime {
		return
	}
	tending := foreman.tending()
	tending.Own = register.Identity()
	change := tending.Step(known)
	if change == nil {
		return
	}
	if len(known.Previous) == 0 {
		foreman.learnNamed(register)
		if register.Known().SetEpoch != known.SetEpoch {
			return
		}
	}
	if _, failure := register.Change(change); failure != nil {
		foreman.Stand.Log.Warn("set not changed", "register", register.name, "why", failure.Error())
		return
	}
	if len(known.Previous) == 0 {
		if value, failure := register.Change(vise.Settle); failure == nil {
			foreman.Stand.Log.Info("set changed", "register", register.name, "epoch", value.SetEpoch, "members", len(value.Acceptors))
		}
	}
}

// learnNamed asks other foremen for the acceptors of a named register.
func (foreman *Foreman) learnNamed(register *Register) {
	stand := foreman.Stand
	addresses := map[string]bool{}
	for _, address := range stand.Boot.SeedAddresses(almanac.PortForeman) {
		addresses[address] = true
	}
	for _, entry := range stand.Live(bellows.RoleForeman) {
		addresses[entry.Address] = true
	}
	delete(addresses, stand.Own.Address)
	for address := range addresses {
		back := &pattern.DutyChanged{}
		if tongs.Ask(stand.Wire, address, pattern.KindNamedRead, &pattern.NamedAsk{Name: register.name}, back, almanac.CallTime) == nil {
			register.LearnSets(back.Value)
		}
	}
}
