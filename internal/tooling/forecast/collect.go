package forecast

import (
	"slices"
	"strings"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/trafficstats"
)

// ErrUnreachable is returned if the fleet can't be reached or lacks the data for a forecast.
var ErrUnreachable = errs.Define("fleet")

// Collector requests from a fleet the data that a forecast is based on.
type Collector struct {
	Transport transport.Transport
	// Seed is the internal address (host:port) of any process of the fleet.
	Seed string
	// Timeout bounds each status and configuration call; calls for a zone's traffic use twice
	// constants.BulkCallTimeout.
	Timeout clock.Duration
}

// Collect returns the present state of the fleet. For each zone, one controller merges the traffic
// summaries of the zone's processes.
func (c *Collector) Collect() (*FleetState, error) {
	controllers, err := c.controllers()
	if err != nil {
		return nil, err
	}
	state := &FleetState{}
	if state.Config, err = c.config(controllers); err != nil {
		return nil, err
	}
	zones, err := c.zones(controllers)
	if err != nil {
		return nil, err
	}
	merged := trafficstats.Merged{}
	for _, zone := range zones {
		resp := c.zoneTraffic(zone, controllers)
		if resp == nil {
			state.Missing = append(state.Missing, "zone "+zone)
			continue
		}
		for i := range resp.Summaries {
			merged.Add(&resp.Summaries[i])
		}
		state.Answered += resp.Answered
		state.Missing = append(state.Missing, resp.Missing...)
		state.ObservedS = max(state.ObservedS, float64(resp.ObservedMs)/1000)
		state.Workers = resp.Workers
	}
	if state.Answered == 0 {
		return nil, ErrUnreachable.New("no gateway or store returned a traffic summary")
	}
	state.Summaries = merged.Summaries()
	return state, nil
}

// controller is the zone and the internal address of a controller process.
type controller struct{ zone, address string }

// controllers returns the controllers in the seed's list of nodes, in the order of that list.
func (c *Collector) controllers() ([]controller, error) {
	status, err := c.status(c.Seed, "nodes")
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "seed "+c.Seed+" does not answer (the seed must be an internal address)")
	}
	var found []controller
	for _, row := range status.Rows {
		if role, _, _ := strings.Cut(row[0], "/"); role == membership.RoleController && len(row) > 2 {
			found = append(found, controller{row[1], row[2]})
		}
	}
	if len(found) == 0 {
		return nil, ErrUnreachable.New("seed " + c.Seed + " lists no controller")
	}
	return found, nil
}

func (c *Collector) status(address, query string) (*messages.StatusResponse, error) {
	resp := &messages.StatusResponse{}
	err := transport.Call(c.Transport, address, messages.KindStatus, &messages.StatusRequest{Query: query}, resp, c.Timeout)
	return resp, err
}

// config returns the configuration in force, from the first controller that responds with one.
func (c *Collector) config(controllers []controller) (*routeconfig.Config, error) {
	var lastErr error
	for _, ctrl := range controllers {
		resp := &messages.ConfigPush{}
		if lastErr = transport.Call(c.Transport, ctrl.address, messages.KindConfigPull, &messages.ConfigPull{}, resp, c.Timeout); lastErr == nil && len(resp.Body) > 0 {
			return routeconfig.Parse(resp.Body)
		}
	}
	if lastErr == nil {
		lastErr = ErrUnreachable.New("no configuration is in force")
	}
	return nil, ErrUnreachable.Wrap(lastErr, "configuration")
}

// zones returns the names of the fleet's zones, sorted.
func (c *Collector) zones(controllers []controller) ([]string, error) {
	for _, ctrl := range controllers {
		status, err := c.status(ctrl.address, "zones")
		if err != nil || len(status.Rows) == 0 {
			continue
		}
		var zones []string
		for _, row := range status.Rows {
			zones = append(zones, row[0])
		}
		slices.Sort(zones)
		return zones, nil
	}
	return nil, ErrUnreachable.New("no controller returned the list of zones")
}

// zoneTraffic requests the merged summaries of a zone, first from controllers in that zone, then
// from the others. It returns nil if none of the controllers tried responds.
func (c *Collector) zoneTraffic(zone string, controllers []controller) *messages.ZoneTrafficResponse {
	order := slices.Clone(controllers)
	slices.SortStableFunc(order, func(left, right controller) int {
		distance := func(ctrl controller) int {
			if ctrl.zone == zone {
				return 0
			}
			return 1
		}
		return distance(left) - distance(right)
	})
	for i, ctrl := range order {
		if i >= controllersPerZoneMax {
			break
		}
		resp := &messages.ZoneTrafficResponse{}
		if transport.Call(c.Transport, ctrl.address, messages.KindZoneTraffic, &messages.ZoneTrafficRequest{Zone: zone}, resp, constants.BulkCallTimeout*2) == nil {
			return resp
		}
	}
	return nil
}

// controllersPerZoneMax bounds how many controllers are tried for one zone.
const controllersPerZoneMax = 3
