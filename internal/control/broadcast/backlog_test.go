package broadcast_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// unconfirmed lists the updates that were added for a process and that it has not confirmed.
type unconfirmed struct {
	generation int64
	workers    map[string]bool
}

// backlogModel is a backlog together with a model of its expected content.
type backlogModel struct {
	backlog     *broadcast.Backlog
	now         clock.Instant
	entries     map[string]messages.NodeInfo
	unconfirmed map[string]*unconfirmed
	sent        []broadcast.Delivery
	// stale marks deliveries, by index in sent, that precede a later Add or incarnation of their process.
	stale map[int]bool
}

func (m *backlogModel) drawName(rt *rapid.T) string {
	return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(rt, "name")
}

func (m *backlogModel) directory() (entries []messages.NodeInfo) {
	for _, entry := range m.entries {
		entries = append(entries, entry)
	}
	return entries
}

// markStale marks all earlier deliveries to a process as stale.
func (m *backlogModel) markStale(name string) {
	for i := range m.sent {
		m.stale[i] = m.stale[i] || m.sent[i].Entry.Name == name
	}
}

// start starts a new incarnation of a process.
func (m *backlogModel) start(rt *rapid.T) {
	name := m.drawName(rt)
	m.entries[name] = messages.NodeInfo{Name: name, Role: membership.RoleGateway, Incarnation: m.entries[name].Incarnation + 1, Address: name}
	delete(m.unconfirmed, name)
	m.markStale(name)
}

func (m *backlogModel) add(rt *rapid.T) {
	name := m.drawName(rt)
	entry, present := m.entries[name]
	if !present {
		return
	}
	generation, worker := int64(rapid.IntRange(0, 5).Draw(rt, "generation")), fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "worker"))
	m.backlog.Add(entry, generation, []string{worker}, constants.BacklogBackoff, m.now)
	if m.unconfirmed[name] == nil {
		m.unconfirmed[name] = &unconfirmed{workers: map[string]bool{}}
	}
	m.unconfirmed[name].generation = max(m.unconfirmed[name].generation, generation)
	m.unconfirmed[name].workers[worker] = true
	m.markStale(name)
}

// due checks that a process with unconfirmed updates is sent all of them, and that no other process
// is sent anything.
func (m *backlogModel) due(rt *rapid.T) {
	m.now = m.now.Add(constants.BacklogBackoffMax)
	due := map[string]broadcast.Delivery{}
	for _, delivery := range m.backlog.Due(m.directory(), m.now) {
		due[delivery.Entry.Name] = delivery
		m.sent = append(m.sent, delivery)
	}
	for name, want := range m.unconfirmed {
		if delivery, sent := due[name]; !sent || delivery.Generation != want.generation || len(delivery.Workers) != len(want.workers) {
			rt.Fatalf("%s: want unconfirmed %+v, got delivery %+v", name, want, delivery)
		}
	}
	if len(due) != len(m.unconfirmed) {
		rt.Fatalf("got deliveries %v, want unconfirmed %v", due, m.unconfirmed)
	}
}

func (m *backlogModel) confirm(rt *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(rt, "delivery")
	m.backlog.Confirmed(m.sent[i])
	if !m.stale[i] {
		delete(m.unconfirmed, m.sent[i].Entry.Name)
	}
}

// restart starts a new incarnation of a process and calls Due, so that the backlog observes it.
func (m *backlogModel) restart(rt *rapid.T) {
	name := m.drawName(rt)
	m.entries[name] = messages.NodeInfo{Name: name, Role: membership.RoleGateway, Incarnation: m.entries[name].Incarnation + 1, Address: name}
	m.backlog.Due(m.directory(), m.now)
	delete(m.unconfirmed, name)
	m.markStale(name)
}

// checkNames checks that Names contains every process with unconfirmed updates.
func (m *backlogModel) checkNames(rt *rapid.T) {
	for name := range m.unconfirmed {
		if !slices.Contains(m.backlog.Names(), membership.RoleGateway+"/"+name) {
			rt.Fatalf("%s has unconfirmed updates but is missing from Names", name)
		}
	}
}

// TestBacklogRetriesUntilConfirmed checks that a process with unconfirmed updates is in Names and gets
// a delivery at least once per BacklogBackoffMax, until it confirms or its incarnation leaves the
// directory, and that a confirmation never covers updates added after its delivery was made.
func TestBacklogRetriesUntilConfirmed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &backlogModel{backlog: broadcast.NewBacklog(), now: 1, entries: map[string]messages.NodeInfo{}, unconfirmed: map[string]*unconfirmed{}, stale: map[int]bool{}}
		rt.Repeat(map[string]func(*rapid.T){
			"start": m.start, "add": m.add, "due": m.due, "confirm": m.confirm, "leave": m.restart, "": m.checkNames,
		})
	})
}
