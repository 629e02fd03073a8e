// Package sawhorse holds a small fleet on one machine: the real programs on loopback
// addresses, emulated workers for them, and a desk from which both are watched and
// put in trouble.
package sawhorse

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/mishap"
)

// Unfit is the mishap of a plan that can't be carried out.
var Unfit = mishap.Define("lab")

// Plan says what a fleet consists of.
type Plan struct {
	// Label names the fleet in reports.
	Label string `toml:"label"`
	// Programs is the folder with forge, foreman and locker.
	Programs string `toml:"programs"`
	// Network is the first three bytes of the addresses, 127 at the front.
	Network string `toml:"network"`
	Forges  int    `toml:"forges"`
	Foremen int    `toml:"foremen"`
	Lockers int    `toml:"lockers"`
	// Workers run the model, Plain workers the plain requests.
	Workers int `toml:"workers"`
	Plain   int `toml:"plain-workers"`
	Zones   int `toml:"zones"`
	// Capacity and CacheTokens are those of each model worker.
	Capacity    int   `toml:"capacity"`
	CacheTokens int64 `toml:"cache-tokens"`
	Seed        int64 `toml:"seed"`
	// Configuration is the file of the first configuration; empty for the lab's own.
	Configuration string `toml:"configuration"`
}

// NewPlan gives what is used where nothing else is said.
func NewPlan() Plan {
	return Plan{Label: "lab", Network: almanac.LabNetwork, Forges: 2, Foremen: 3, Lockers: 3, Workers: 4, Plain: 2, Zones: 2,
		Capacity: 8, CacheTokens: 60_000, Seed: 1}
}

// Check gives the first thing that stands in the way, naming the flag.
func (plan *Plan) Check() error {
	bounds := []struct {
		name      string
		value     int
		low, high int
	}{
		{"forges", plan.Forges, 1, almanac.LabStoreHost - almanac.LabEdgeHost},
		{"foremen", plan.Foremen, 1, 9},
		{"lockers", plan.Lockers, 1, almanac.LabWorkerHost - almanac.LabStoreHost},
		{"workers", plan.Workers, 1, 100},
		{"plain-workers", plan.Plain, 1, 40},
		{"zones", plan.Zones, 1, 9},
		{"capacity", plan.Capacity, 1, 1000},
	}
	for _, one := range bounds {
		if one.value < one.low || one.value > one.high {
			return Unfit.New(fmt.Sprintf("%s must lie between %d and %d, not %d", one.name, one.low, one.high, one.value))
		}
	}
	if count := plan.Forges + plan.Foremen + plan.Lockers; count > almanac.LabProcesses {
		return Unfit.New(fmt.Sprintf("forges, foremen and lockers make %d processes; at most %d", count, almanac.LabProcesses))
	}
	if plan.CacheTokens < 1000 {
		return Unfit.New("cache-tokens must be 1000 or more")
	}
	address := net.ParseIP(plan.Network + ".1")
	if address == nil || address.To4() == nil || !address.IsLoopback() {
		return Unfit.New("network must be three bytes of a loopback address, such as " + almanac.LabNetwork + ", not " + strconv.Quote(plan.Network))
	}
	for _, role := range []string{"forge", "foreman", "locker"} {
		path := filepath.Join(plan.Programs, role)
		if state, failure := os.Stat(path); failure != nil || state.IsDir() || state.Mode()&0o111 == 0 {
			return Unfit.New("no program " + path + "; build them: go build -ldflags=-linkmode=external -o target/ ./cmd/...")
		}
	}
	return nil
}

// node is one process that is to run.
type node struct {
	// name is what the lab calls it, machine what the fleet calls its machine.
	name, role, machine, address, hall string
	disk                               bool
}

func (plan *Plan) host(first, place, port int) string {
	return net.JoinHostPort(plan.Network+"."+strconv.Itoa(first+place), strconv.Itoa(port))
}

func (plan *Plan) hall(place int) string { return "hall-" + strconv.Itoa(place%plan.Zones+1) }

// nodes lists the processes: foremen first, since the others ask them.
func (plan *Plan) nodes() []node {
	var all []node
	add := func(role string, count, first int, machine string, disk bool) {
		for place := 0; place < count; place++ {
			number := strconv.Itoa(place + 1)
			all = append(all, node{role + "-" + number, role, machine + "-" + number, plan.Network + "." + strconv.Itoa(first+place), plan.hall(place), disk})
		}
	}
	add("foreman", plan.Foremen, almanac.LabEdgeHost, "edge", true)
	add("locker", plan.Lockers, almanac.LabStoreHost, "store", true)
	add("forge", plan.Forges, almanac.LabEdgeHost, "edge", false)
	return all
}

// Ingress lists the addresses that downstreams call.
func (plan *Plan) Ingress() []string { return plan.edges(plan.Forges, almanac.LabIngressPort) }

// Readiness lists the addresses that tell whether a forge is ready.
func (plan *Plan) Readiness() []string { return plan.edges(plan.Forges, almanac.LabReadyPort) }

// Controls lists the addresses that workers and the operator call.
func (plan *Plan) Controls() []string { return plan.edges(plan.Foremen, almanac.LabControlPort) }

// Desk is the address of the desk.
func (plan *Plan) Desk() string { return plan.host(almanac.LabDeskHost, 0, almanac.LabDeskPort) }

func (plan *Plan) edges(count, port int) []string {
	var all []string
	for place := 0; place < count; place++ {
		all = append(all, plan.host(almanac.LabEdgeHost, place, port))
	}
	return all
}

// free checks that nobody holds the addresses, so that a busy port is told by name
// before anything has started.
func (plan *Plan) free() error {
	addresses := append(append(plan.Ingress(), plan.Readiness()...), plan.Controls()...)
	addresses = append(addresses, plan.Desk())
	for place := 0; place < plan.Workers+plan.Plain; place++ {
		addresses = append(addresses, plan.host(almanac.LabWorkerHost, place, almanac.LabWorkerPort))
	}
	for _, one := range plan.nodes() {
		offset := map[string]int{"foreman": almanac.PortForeman, "forge": almanac.PortForge, "locker": almanac.PortLocker}[one.role]
		addresses = append(addresses, net.JoinHostPort(one.address, strconv.Itoa(almanac.LabInternalPort+offset)))
	}
	for _, address := range addresses {
		listener, failure := net.Listen("tcp4", address)
		if failure != nil {
			return Unfit.New(address + " can't be had (" + lastWords(failure) + "); is another lab running? --network names other addresses")
		}
		listener.Close()
	}
	return nil
}

// lastWords is the innermost reason of a failure.
func lastWords(failure error) string {
	for {
		inner, wraps := failure.(interface{ Unwrap() error })
		if !wraps || inner.Unwrap() == nil {
			return failure.Error()
		}
		failure = inner.Unwrap()
	}
}
