package fleetshell

import (
	"sort"
	"strings"
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// process is one process of the fleet, taken from a row of the query nodes.
type process struct {
	key, role, zone, address string
}

func processesOf(status *messages.StatusResponse) (processes []process) {
	for _, row := range status.Rows {
		if role, _, valid := strings.Cut(row[0], "/"); valid && len(row) > 2 {
			processes = append(processes, process{row[0], role, row[1], row[2]})
		}
	}
	return processes
}

// allProcesses returns every process of the fleet. Most processes know only a part of the fleet, but
// controllers know all of it. The controllers that the seed knows are tried in turn until one has
// listed its zones and the processes of each zone; it lists them zone by zone because the size of a
// response is bounded. If no controller responds, the result is what the seed knows.
func (s *Shell) allProcesses(seedNodes *messages.StatusResponse) []process {
	byKey := map[string]process{}
	for _, proc := range processesOf(seedNodes) {
		byKey[proc.key] = proc
	}
	for _, proc := range processesOf(seedNodes) {
		zones := &messages.StatusResponse{}
		if proc.role != membership.RoleController || s.call(proc.address, &messages.StatusRequest{Query: "zones"}, zones) != nil {
			continue
		}
		complete := true
		for _, row := range zones.Rows {
			inZone := &messages.StatusResponse{}
			if s.call(proc.address, &messages.StatusRequest{Query: "nodes", Zone: row[0]}, inZone) != nil {
				complete = false
				break
			}
			for _, other := range processesOf(inZone) {
				byKey[other.key] = other
			}
		}
		if complete && len(zones.Rows) > 0 {
			break
		}
	}
	var all []process
	for _, proc := range byKey {
		all = append(all, proc)
	}
	sort.Slice(all, func(left, right int) bool { return all[left].key < all[right].key })
	return all
}

func (s *Shell) call(address string, req *messages.StatusRequest, resp *messages.StatusResponse) error {
	return transport.Call(s.Transport, address, messages.KindStatus, req, resp, s.Timeout)
}

// queryZones sends a query to all processes of the given roles, one zone after the other, so
// that the processes of a large fleet do not all respond at once.
func (s *Shell) queryZones(fleet []process, query string, roles []string) []Response {
	var responses []Response
	indexesByZone, zoneNames := map[string][]int{}, []string{}
	addresses := []string{}
	for _, proc := range fleet {
		for _, role := range roles {
			if proc.role != role {
				continue
			}
			if indexesByZone[proc.zone] == nil {
				zoneNames = append(zoneNames, proc.zone)
			}
			indexesByZone[proc.zone] = append(indexesByZone[proc.zone], len(responses))
			responses, addresses = append(responses, Response{Process: proc.key}), append(addresses, proc.address)
		}
	}
	sort.Strings(zoneNames)
	for _, zone := range zoneNames {
		var group sync.WaitGroup
		for _, i := range indexesByZone[zone] {
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
