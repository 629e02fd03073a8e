package fleetshell

import (
	"sort"
	"strings"
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// process is one of the fleet, as a row of the query nodes names it.
type process struct {
	key, role, zone, address string
}

func processesOf(status *messages.StatusResponse) (found []process) {
	for _, row := range status.Rows {
		if role, _, named := strings.Cut(row[0], "/"); named && len(row) > 2 {
			found = append(found, process{row[0], role, row[1], row[2]})
		}
	}
	return found
}

// fleet gives every process: most know a part of the fleet only, controllers know all. One
// is asked for the zones, and then for the processes of each zone, since an answer is
// bounded. What the seed knows is used where no controller answers.
func (s *Shell) fleet(seen *messages.StatusResponse) []process {
	found := map[string]process{}
	for _, one := range processesOf(seen) {
		found[one.key] = one
	}
	for _, one := range processesOf(seen) {
		zones := &messages.StatusResponse{}
		if one.role != membership.RoleController || s.put(one.address, &messages.StatusRequest{Query: "zones"}, zones) != nil {
			continue
		}
		whole := true
		for _, row := range zones.Rows {
			part := &messages.StatusResponse{}
			if s.put(one.address, &messages.StatusRequest{Query: "nodes", Zone: row[0]}, part) != nil {
				whole = false
				break
			}
			for _, other := range processesOf(part) {
				found[other.key] = other
			}
		}
		if whole && len(zones.Rows) > 0 {
			break
		}
	}
	var all []process
	for _, one := range found {
		all = append(all, one)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].key < all[right].key })
	return all
}

func (s *Shell) put(address string, question *messages.StatusRequest, answer *messages.StatusResponse) error {
	return transport.Call(s.Transport, address, messages.KindStatus, question, answer, s.Limit)
}

// askZones puts a query to the processes of the roles, one zone after the other, so
// that a large fleet does not answer all at once.
func (s *Shell) askZones(fleet []process, query string, roles []string) []Answer {
	var answers []Answer
	zones, places := map[string][]int{}, []string{}
	addresses := []string{}
	for _, one := range fleet {
		for _, role := range roles {
			if one.role != role {
				continue
			}
			if zones[one.zone] == nil {
				places = append(places, one.zone)
			}
			zones[one.zone] = append(zones[one.zone], len(answers))
			answers, addresses = append(answers, Answer{Process: one.key}), append(addresses, one.address)
		}
	}
	sort.Strings(places)
	for _, zone := range places {
		var group sync.WaitGroup
		for _, place := range zones[zone] {
			group.Add(1)
			go func() {
				defer group.Done()
				one := &answers[place]
				one.Silent = s.put(addresses[place], &messages.StatusRequest{Query: query}, &one.Status) != nil
			}()
		}
		group.Wait()
	}
	return answers
}
