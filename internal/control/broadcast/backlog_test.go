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

// TestBacklogTellsUntilConfirmed: whoever has not confirmed everything is named, and is
// told at least once in BacklogPauseMost, until it confirms or its life leaves the
// directory; a confirmation never covers what was added after its delivery was made.
func TestBacklogTellsUntilConfirmed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		backlog, now := broadcast.NewBacklog(), clock.Moment(1)
		lives, model := map[string]messages.Entry{}, map[string]*owed{}
		name := rapid.SampledFrom([]string{"p", "q", "r"})
		var sent []broadcast.Delivery
		// stale marks deliveries that were made before a later Add to their process.
		stale := map[int]bool{}
		directory := func() (entries []messages.Entry) {
			for _, entry := range lives {
				entries = append(entries, entry)
			}
			return entries
		}
		rt.Repeat(map[string]func(*rapid.T){
			"start": func(rt *rapid.T) {
				one := name.Draw(rt, "name")
				lives[one] = messages.Entry{Name: one, Role: membership.RoleGateway, Life: lives[one].Life + 1, Address: one}
				delete(model, one)
				for place := range sent {
					stale[place] = stale[place] || sent[place].Entry.Name == one
				}
			},
			"add": func(rt *rapid.T) {
				one := name.Draw(rt, "name")
				entry, present := lives[one]
				if !present {
					return
				}
				generation, worker := int64(rapid.IntRange(0, 5).Draw(rt, "generation")), fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "worker"))
				backlog.Add(entry, generation, []string{worker}, constants.BacklogPause, now)
				if model[one] == nil {
					model[one] = &owed{workers: map[string]bool{}}
				}
				model[one].generation = max(model[one].generation, generation)
				model[one].workers[worker] = true
				for place := range sent {
					stale[place] = stale[place] || sent[place].Entry.Name == one
				}
			},
			"due": func(rt *rapid.T) {
				now = now.Plus(constants.BacklogPauseMost)
				due := map[string]broadcast.Delivery{}
				for _, delivery := range backlog.Due(directory(), now) {
					due[delivery.Entry.Name] = delivery
					sent = append(sent, delivery)
				}
				for one, debt := range model {
					if delivery, told := due[one]; !told || delivery.Generation != debt.generation || len(delivery.Workers) != len(debt.workers) {
						rt.Fatalf("%s is owed %+v, and is told %+v", one, debt, delivery)
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
				place := rapid.IntRange(0, len(sent)-1).Draw(rt, "delivery")
				backlog.Confirmed(sent[place])
				if !stale[place] {
					delete(model, sent[place].Entry.Name)
				}
			},
			"leave": func(rt *rapid.T) {
				one := name.Draw(rt, "name")
				lives[one] = messages.Entry{Name: one, Role: membership.RoleGateway, Life: lives[one].Life + 1, Address: one}
				backlog.Due(directory(), now)
				delete(model, one)
				for place := range sent {
					stale[place] = stale[place] || sent[place].Entry.Name == one
				}
			},
			"": func(rt *rapid.T) {
				for one := range model {
					named := false
					for _, key := range backlog.Names() {
						named = named || key == membership.RoleGateway+"/"+one
					}
					if !named {
						rt.Fatalf("%s is not named", one)
					}
				}
			},
		})
	})
}
