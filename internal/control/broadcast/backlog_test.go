package broadcast_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// owed is the model: what a process was to be told and has not confirmed.
type owed struct {
	generation int64
	workers    map[string]bool
}

// TestBacklogRetriesUntilConfirmed: whoever has not confirmed everything is named, and is
// told at least once in BacklogBackoffMax, until it confirms or its incarnation leaves the
// directory; a confirmation never covers what was added after its delivery was made.
func TestBacklogRetriesUntilConfirmed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		backlog, now := broadcast.NewBacklog(), clock.Instant(1)
		lives, model := map[string]messages.NodeInfo{}, map[string]*owed{}
		name := rapid.SampledFrom([]string{"p", "q", "r"})
		var sent []broadcast.Delivery
		// stale hashes deliveries that were made before a later Add to their process.
		stale := map[int]bool{}
		directory := func() (entries []messages.NodeInfo) {
			for _, entry := range lives {
				entries = append(entries, entry)
			}
			return entries
		}
		rt.Repeat(map[string]func(*rapid.T){
			"start": func(rt *rapid.T) {
				found := name.Draw(rt, "name")
				lives[found] = messages.NodeInfo{Name: found, Role: membership.RoleGateway, Incarnation: lives[found].Incarnation + 1, Address: found}
				delete(model, found)
				for i := range sent {
					stale[i] = stale[i] || sent[i].Entry.Name == found
				}
			},
			"add": func(rt *rapid.T) {
				found := name.Draw(rt, "name")
				entry, present := lives[found]
				if !present {
					return
				}
				generation, worker := int64(rapid.IntRange(0, 5).Draw(rt, "generation")), fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "worker"))
				backlog.Add(entry, generation, []string{worker}, constants.BacklogBackoff, now)
				if model[found] == nil {
					model[found] = &owed{workers: map[string]bool{}}
				}
				model[found].generation = max(model[found].generation, generation)
				model[found].workers[worker] = true
				for i := range sent {
					stale[i] = stale[i] || sent[i].Entry.Name == found
				}
			},
			"due": func(rt *rapid.T) {
				now = now.Add(constants.BacklogBackoffMax)
				due := map[string]broadcast.Delivery{}
				for _, delivery := range backlog.Due(directory(), now) {
					due[delivery.Entry.Name] = delivery
					sent = append(sent, delivery)
				}
				for found, debt := range model {
					if delivery, notified := due[found]; !notified || delivery.Generation != debt.generation || len(delivery.Workers) != len(debt.workers) {
						rt.Fatalf("%s is owed %+v, and is told %+v", found, debt, delivery)
					}
				}
				if len(due) != len(model) {
					rt.Fatalf("told %v, owed %v", due, model)
				}
			},
			"confirm": func(rt *rapid.T) {
				if len(sent) == 0 {
					return
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(rt, "delivery")
				backlog.Confirmed(sent[i])
				if !stale[i] {
					delete(model, sent[i].Entry.Name)
				}
			},
			"leave": func(rt *rapid.T) {
				found := name.Draw(rt, "name")
				lives[found] = messages.NodeInfo{Name: found, Role: membership.RoleGateway, Incarnation: lives[found].Incarnation + 1, Address: found}
				backlog.Due(directory(), now)
				delete(model, found)
				for i := range sent {
					stale[i] = stale[i] || sent[i].Entry.Name == found
				}
			},
			"": func(rt *rapid.T) {
				for found := range model {
					named := false
					for _, key := range backlog.Names() {
						named = named || key == membership.RoleGateway+"/"+found
					}
					if !named {
						rt.Fatalf("%s is not named", found)
					}
				}
			},
		})
	})
}
