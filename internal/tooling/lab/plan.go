// Package lab runs a small fleet on one machine: the real programs on loopback addresses, emulated
// workers for them, and a control endpoint to observe both and to inject troubles.
package lab

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// ErrInvalidLab is the kind of errors of this package, such as a plan that can't be carried out.
var ErrInvalidLab = errs.Define("lab")

// Plan describes the processes and workers of a fleet.
type Plan struct {
	// Label names the fleet in reports.
	Label string `toml:"label"`
	// Programs is the folder with the gateway, controller and store programs.
	Programs string `toml:"programs"`
	// Network is the first three bytes of the addresses, the first of which is 127.
	Network     string `toml:"network"`
	Gateways    int    `toml:"gateways"`
	Controllers int    `toml:"controllers"`
	Stores      int    `toml:"stores"`
	// Workers is the number of workers that run the model, Plain that of workers for plain requests.
	Workers int `toml:"workers"`
	Plain   int `toml:"plain-workers"`
	Zones   int `toml:"zones"`
	// Capacity (concurrent requests) and CacheTokens (cache size) apply to each model worker.
	Capacity    int   `toml:"capacity"`
	CacheTokens int64 `toml:"cache-tokens"`
	Seed        int64 `toml:"seed"`
	// MemoryMB and FileHandles are the limits in the settings of each process; 0 for the lab's defaults.
	MemoryMB    int `toml:"memory-mb"`
	FileHandles int `toml:"file-handles"`
	// Configuration is the file with the initial configuration; empty for the built-in one.
	Configuration string `toml:"configuration"`
	// Families, if there are any, replace the lab's default workers and routes.
	Families []Family `toml:"families"`
}

// NewPlan returns the default plan.
func NewPlan() Plan {
	return Plan{Label: "lab", Network: constants.LabNetwork, Gateways: 2, Controllers: 3, Stores: 3, Workers: 4, Plain: 2, Zones: 2,
		Capacity: 8, CacheTokens: 60_000, Seed: 1}
}

// Check returns an error that names the first invalid flag, or nil.
func (p *Plan) Check() error {
	bounds := []struct {
		name      string
		value     int
		low, high int
	}{
		{"gateways", p.Gateways, 1, constants.LabProcesses},
		{"controllers", p.Controllers, 1, 9},
		{"stores", p.Stores, 1, constants.LabWorkerHost - constants.LabStoreHost},
		{"workers", p.Workers, 1, 100},
		{"plain-workers", p.Plain, 1, 40},
		{"zones", p.Zones, 1, 9},
		{"capacity", p.Capacity, 1, 1000},
		{"memory-mb", p.MemoryMB, 0, constants.LabMemoryMBMax},
		{"file-handles", p.FileHandles, 0, constants.LabFileHandlesMax},
	}
	for _, bound := range bounds {
		if bound.value < bound.low || bound.value > bound.high {
			return ErrInvalidLab.New(fmt.Sprintf("%s must be between %d and %d, got %d", bound.name, bound.low, bound.high, bound.value))
		}
	}
	if count := p.Gateways + p.Controllers + p.Stores; count > constants.LabProcesses {
		return ErrInvalidLab.New(fmt.Sprintf("gateways, controllers and stores: %d processes in total, want at most %d", count, constants.LabProcesses))
	}
	if p.CacheTokens < 1000 {
		return ErrInvalidLab.New("cache-tokens must be 1000 or more")
	}
	if len(p.Families) > 0 {
		if err := checkFamilies(p.Families); err != nil {
			return err
		}
	}
	address := net.ParseIP(p.edgeHost(p.Gateways - 1))
	if address == nil || address.To4() == nil || !address.IsLoopback() {
		return ErrInvalidLab.New("network must be three bytes of a loopback address, such as " + constants.LabNetwork + ", got " + strconv.Quote(p.Network))
	}
	if err := checkMemory(p.Gateways + p.Controllers + p.Stores); err != nil {
		return err
	}
	for _, role := range []string{"gateway", "controller", "store"} {
		path := filepath.Join(p.Programs, role)
		if state, err := os.Stat(path); err != nil || state.IsDir() || state.Mode()&0o111 == 0 {
			return ErrInvalidLab.New("no program at " + path + "; build them: go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/...")
		}
	}
	return nil
}

// node describes one process of the plan.
type node struct {
	// name is the name of the process in the lab, machine the name of its machine in the fleet.
	name, role, machine, address, zone string
	disk                               bool
}

func (p *Plan) host(firstHost, i, port int) string {
	return net.JoinHostPort(p.Network+"."+strconv.Itoa(firstHost+i), strconv.Itoa(port))
}

func (p *Plan) zone(i int) string { return "zone-" + strconv.Itoa(i%p.Zones+1) }

// nodes lists the processes. Controllers come first, since the others send requests to them.
func (p *Plan) nodes() []node {
	var all []node
	add := func(role string, count int, host func(i int) string, machine string, disk bool) {
		for i := 0; i < count; i++ {
			number := strconv.Itoa(i + 1)
			all = append(all, node{role + "-" + number, role, machine + "-" + number, host(i), p.zone(i), disk})
		}
	}
	storeHost := func(i int) string { return p.Network + "." + strconv.Itoa(constants.LabStoreHost+i) }
	add("controller", p.Controllers, p.edgeHost, "edge", true)
	add("store", p.Stores, storeHost, "store", true)
	add("gateway", p.Gateways, p.edgeHost, "edge", false)
	return all
}

// edgeHost returns the IP address of an edge machine. Those that find no place before the stores are on the
// networks behind Network.
func (p *Plan) edgeHost(i int) string {
	if i < constants.LabStoreHost-constants.LabEdgeHost {
		return p.Network + "." + strconv.Itoa(constants.LabEdgeHost+i)
	}
	i -= constants.LabStoreHost - constants.LabEdgeHost
	dot := strings.LastIndexByte(p.Network, '.') + 1
	third, _ := strconv.Atoi(p.Network[dot:])
	return p.Network[:dot] + strconv.Itoa(third+1+i/constants.LabNetworkHosts) + "." + strconv.Itoa(1+i%constants.LabNetworkHosts)
}

// Ingress returns the addresses for requests of clients.
func (p *Plan) Ingress() []string { return p.edgeAddresses(p.Gateways, constants.LabIngressPort) }

// Readiness returns the addresses of the readiness checks of the gateways.
func (p *Plan) Readiness() []string { return p.edgeAddresses(p.Gateways, constants.LabReadyPort) }

// Controls returns the addresses of the controllers for requests of workers and the operator.
func (p *Plan) Controls() []string { return p.edgeAddresses(p.Controllers, constants.LabControlPort) }

// Endpoint returns the address of the control endpoint.
func (p *Plan) Endpoint() string {
	return p.host(constants.LabEndpointHost, 0, constants.LabEndpointPort)
}

func (p *Plan) edgeAddresses(count, port int) []string {
	var all []string
	for i := 0; i < count; i++ {
		all = append(all, net.JoinHostPort(p.edgeHost(i), strconv.Itoa(port)))
	}
	return all
}

// checkAddressesFree returns an error that names the first address in use, so that a busy
// port is reported before anything is started.
func (p *Plan) checkAddressesFree() error {
	addresses := append(append(p.Ingress(), p.Readiness()...), p.Controls()...)
	addresses = append(addresses, p.Endpoint())
	for _, spec := range p.workerSlots() {
		addresses = append(addresses, spec.address)
	}
	for _, spec := range p.nodes() {
		offset := map[string]int{"controller": constants.PortController, "gateway": constants.PortGateway, "store": constants.PortStore}[spec.role]
		addresses = append(addresses, net.JoinHostPort(spec.address, strconv.Itoa(constants.LabInternalPort+offset)))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return ErrInvalidLab.New(address + " is not available (" + rootCause(err) + "); is another lab running? --network names other addresses")
		}
		listener.Close()
	}
	return nil
}

// rootCause returns the text of the innermost error.
func rootCause(err error) string {
	for {
		inner, wraps := err.(interface{ Unwrap() error })
		if !wraps || inner.Unwrap() == nil {
			return err.Error()
		}
		err = inner.Unwrap()
	}
}
