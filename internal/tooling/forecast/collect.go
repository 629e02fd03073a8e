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

// ErrUnreachable is the error of a fleet that tells nothing.
var ErrUnreachable = errs.Define("fleet")

// Collector asks a fleet for what a forecast stands on.
type Collector struct {
	Transport transport.Transport
	// Seed is the internal address of any process.
	Seed string
	// Timeout bounds each call.
	Timeout clock.Duration
}

// Collect gives what is known now: a controller of each zone merges the summaries of its
// zone's processes.
func (c *Collector) Collect() (*Known, error) {
	controllers, err := c.controllers()
	if err != nil {
		return nil, err
	}
	known := &Known{}
	if known.Config, err = c.config(controllers); err != nil {
		return nil, err
	}
	zones, err := c.zones(controllers)
	if err != nil {
		return nil, err
	}
	merged := trafficstats.Merged{}
	for _, zone := range zones {
		resp := c.zone(zone, controllers)
		if resp == nil {
			known.Missing = append(known.Missing, "zone "+zone)
			continue
		}
		for i := range resp.Summaries {
			merged.Add(&resp.Summaries[i])
		}
		known.Answered += resp.Answered
		known.Missing = append(known.Missing, resp.Missing...)
		known.ObservedS = max(known.ObservedS, float64(resp.ObservedMs)/1000)
		known.Workers = resp.Workers
	}
	if known.Answered == 0 {
		return nil, ErrUnreachable.New("no gateway and no store tells of its traffic")
	}
	known.Summaries = merged.Summaries()
	return known, nil
}

// controller is a control process and its zone.
type controller struct{ zone, address string }

// controllers gives those that the seed knows, in order.
func (c *Collector) controllers() ([]controller, error) {
	status, err := c.status(c.Seed, "nodes")
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "seed "+c.Seed+" does not answer (its internal address is needed)")
	}
	var found []controller
	for _, row := range status.Rows {
		if role, _, _ := strings.Cut(row[0], "/"); role == membership.RoleController && len(row) > 2 {
			found = append(found, controller{row[1], row[2]})
		}
	}
	if len(found) == 0 {
		return nil, ErrUnreachable.New("seed " + c.Seed + " knows no controller")
	}
	return found, nil
}

func (c *Collector) status(address, query string) (*messages.StatusResponse, error) {
	resp := &messages.StatusResponse{}
	err := transport.Call(c.Transport, address, messages.KindStatus, &messages.StatusRequest{Query: query}, resp, c.Timeout)
	return resp, err
}

// config gives the configuration in force from the first controller that has it.
func (c *Collector) config(controllers []controller) (*routeconfig.Config, error) {
	var last error
	for _, each := range controllers {
		resp := &messages.ConfigPush{}
		if last = transport.Call(c.Transport, each.address, messages.KindConfigPull, &messages.ConfigPull{}, resp, c.Timeout); last == nil && len(resp.Body) > 0 {
			return routeconfig.Parse(resp.Body)
		}
	}
	if last == nil {
		last = ErrUnreachable.New("no configuration is in force")
	}
	return nil, ErrUnreachable.Wrap(last, "configuration")
}

// zones gives the zones of the fleet.
func (c *Collector) zones(controllers []controller) ([]string, error) {
	for _, each := range controllers {
		status, err := c.status(each.address, "zones")
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
	return nil, ErrUnreachable.New("no controller tells the zones")
}

// zone has a controller merge the summaries of a zone: one of its own, else any other.
func (c *Collector) zone(zone string, controllers []controller) *messages.ZoneTrafficResponse {
	order := slices.Clone(controllers)
	slices.SortStableFunc(order, func(left, right controller) int {
		near := func(each controller) int {
			if each.zone == zone {
				return 0
			}
			return 1
		}
		return near(left) - near(right)
	})
	for i, each := range order {
		if i >= controllersTried {
			break
		}
		resp := &messages.ZoneTrafficResponse{}
		if transport.Call(c.Transport, each.address, messages.KindZoneTraffic, &messages.ZoneTrafficRequest{Zone: zone}, resp, constants.BulkCallTimeout*2) == nil {
			return resp
		}
	}
	return nil
}

// controllersTried bounds how many controllers are asked for one zone.
const controllersTried = 3
