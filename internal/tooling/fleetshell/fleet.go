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
func (s *Shell) fleet(known *messages.StatusResponse) []process {
	found := map[string]process{}
	for _, entry := range processesOf(known) {
		found[entry.key] = entry
	}
	for _, entry := range processesOf(known) {
		zones := &messages.StatusResponse{}
		if entry.role != membership.RoleController || s.call(entry.address, &messages.StatusRequest{Query: "zones"}, zones) != nil {
			continue
		}
		complete := true
		for _, row := range zones.Rows {
			part := &messages.StatusResponse{}
			if s.call(entry.address, &messages.StatusRequest{Query: "nodes", Zone: row[0]}, part) != nil {
				complete = false
				break
			}
			for _, other := range processesOf(part) {
				found[other.key] = other
			}
		}
		if complete && len(zones.Rows) > 0 {
			break
		}
	}
	var all []process
	for _, entry := range found {
		all = append(all, entry)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].key < all[right].key })
	return all
}

func (s *Shell) call(address string, req *messages.StatusRequest, resp *messages.StatusResponse) error {
	return transport.Call(s.Transport, address, messages.KindStatus, req, resp, s.Limit)
}

// queryZones puts a query to the processes of the roles, one zone after the other, so
// that a large fleet does not answer all at once.
func (s *Shell) queryZones(fleet []process, query string, roles []string) []Response {
	var responses []Response
	zones, names := map[string][]int{}, []string{}
	addresses := []string{}
	for _, entry := range fleet {
		for _, role := range roles {
			if entry.role != role {
				continue
			}
			if zones[entry.zone] == nil {
				names = append(names, entry.zone)
			}
			zones[entry.zone] = append(zones[entry.zone], len(responses))
			responses, addresses = append(responses, Response{Process: entry.key}), append(addresses, entry.address)
		}
	}
	sort.Strings(names)
	for _, zone := range names {
		var group sync.WaitGroup
		for _, i := range zones[zone] {
			group.Add(1)
			go func() {
				defer group.Done()
				resp := &responses[i]
				resp.TimedOut = s.call(addresses[i], &messages.StatusRequest{Query: query}, &resp.Status) != nil
			}()
		}
		group.Wait()
	}
	return responses
}
