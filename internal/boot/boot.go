// Package boot reads and checks the settings file of a process.
package boot

import (
	"net"
	"os"
	"strconv"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/mishap"
	"lemonarch/internal/watch"
)

// Variable names the variable that holds the path of the settings file.
const Variable = "LEMONARCH_SETTINGS"

// Invalid is the kind of every settings mishap.
var Invalid = mishap.Define("settings")

// Boot is what a process is told at its start. Unknown fields are ignored.
type Boot struct {
	NodeName      string            `toml:"node-name"`
	Role          string            `toml:"role"`
	MachineClass  string            `toml:"machine-class"`
	Serves        []string          `toml:"serves"`
	Address       string            `toml:"ip"`
	Hall          string            `toml:"zone"`
	Region        string            `toml:"region"`
	InternalPorts []int             `toml:"internal-ports"`
	Seeds         []string          `toml:"seeds"`
	Bootstrap     bool              `toml:"bootstrap"`
	InQuorum      bool              `toml:"in-quorum"`
	DataDir       string            `toml:"data-dir"`
	HeartbeatMs   float64           `toml:"heartbeat-ms"`
	Halls         map[string]string `toml:"zones"`
	Bind          Bind              `toml:"bind-addresses"`
	Limits        Limits            `toml:"limits"`
	FaultBudget   FaultBudget       `toml:"fault-budget"`
	Tolerances    Tolerances        `toml:"tolerances"`
}

// Bind holds the addresses of what the role serves.
type Bind struct {
	Ingress   string `toml:"ingress"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
}

// Limits holds what the machine gives the process.
type Limits struct {
	MemoryMB    int `toml:"memory-mb"`
	FileHandles int `toml:"file-handles"`
	DiskMB      int `toml:"disk-mb"`
}

// FaultBudget says what may be lost at once.
type FaultBudget struct {
	Machines int `toml:"machines"`
	Halls    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Tolerances holds the figures of the rules.
type Tolerances struct {
	DrainMs        float64 `toml:"drain-ms"`
	GraceS         float64 `toml:"grace-s"`
	ConvergeMs     float64 `toml:"converge-ms"`
	AckMs          float64 `toml:"ack-ms"`
	SyncS          float64 `toml:"sync-s"`
	StatusS        float64 `toml:"status-s"`
	CancelMs       float64 `toml:"cancel-ms"`
	SettlingMs     float64 `toml:"settling-ms"`
	AddressReuseS  float64 `toml:"address-reuse-s"`
	QuotaOvershoot float64 `toml:"quota-overshoot"`
}

// Load reads the file that the variable names and checks it.
func Load() (*Boot, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, Invalid.New(Variable + " is not set")
	}
	return LoadFile(path)
}

// LoadFile reads and checks one settings file.
func LoadFile(path string) (*Boot, error) {
	text, failure := os.ReadFile(path)
	if failure != nil {
		return nil, Invalid.Wrap(failure, "can't read the file")
	}
	return Parse(text)
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (*Boot, error) {
	settings := &Boot{}
	if _, failure := toml.Decode(string(text), settings); failure != nil {
		return nil, Invalid.Wrap(failure, "not readable as TOML")
	}
	if findings := settings.Check(); len(findings) > 0 {
		// One clear line: the first finding is named, the rest through check.
		return settings, Invalid.New(findings[0])
	}
	return settings, nil
}

// Check lists every missing field and every senseless value.
func (settings *Boot) Check() []string {
	var findings []string
	need := func(holds bool, text string) {
		if !holds {
			findings = append(findings, text)
		}
	}
	need(settings.NodeName != "", "node-name is missing")
	need(settings.Hall != "", "zone is missing")
	need(net.ParseIP(settings.Address) != nil, "ip is missing or no address")
	need(len(settings.InternalPorts) == 2 && settings.InternalPorts[0] > 0 &&
		settings.InternalPorts[1] >= settings.InternalPorts[0]+2 && settings.InternalPorts[1] < 65536,
		"internal-ports must be two ports at least two apart")
	need(len(settings.Seeds) > 0, "seeds is missing")
	for _, seed := range settings.Seeds {
		need(addressValid(seed), "seeds holds "+strconv.Quote(seed)+", which is no address")
	}
	need(settings.Limits.MemoryMB > 16, "limits.memory-mb is missing or too small")
	need(settings.FaultBudget.Machines >= 0 && settings.FaultBudget.Halls >= 0, "fault-budget is below 0")
	need(settings.HeartbeatMs > 0, "heartbeat-ms is missing or not above 0")
	need(settings.Tolerances.GraceS > 0, "tolerances.grace-s is missing or not above 0")
	for _, service := range settings.Serves {
		switch service {
		case "edge":
			need(addressValid(settings.Bind.Ingress), "bind-addresses.ingress is missing or no address")
			need(addressValid(settings.Bind.Readiness), "bind-addresses.readiness is missing or no address")
		case "controller":
			// Without data-dir it answers calls and has no vote.
			need(addressValid(settings.Bind.Control), "bind-addresses.control is missing or no address")
		case "storage":
			need(settings.DataDir != "", "data-dir is missing")
		}
	}
	return findings
}

func addressValid(address string) bool {
	host, port, failure := net.SplitHostPort(address)
	if failure != nil || net.ParseIP(host) == nil {
		return false
	}
	number, failure := strconv.Atoi(port)
	return failure == nil && number > 0 && number < 65536
}

// InternalAddress gives the address of a role's internal port on a machine.
func (settings *Boot) InternalAddress(host string, offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(settings.InternalPorts[0]+offset))
}

// SeedAddresses gives the internal addresses of the foremen named as seeds.
func (settings *Boot) SeedAddresses(offset int) []string {
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, failure := net.SplitHostPort(seed)
		if failure == nil {
			addresses = append(addresses, settings.InternalAddress(host, offset))
		}
	}
	return addresses
}

// Budget gives how many members of a set may be lost at once.
func (settings *Boot) Budget() int {
	budget := settings.FaultBudget
	// A set's members stand in different halls, so a lost hall loses one of them.
	return max(budget.Machines, budget.Halls, budget.Regions)
}

// Grace is the time between SIGTERM and SIGKILL.
func (settings *Boot) Grace() watch.Span {
	return watch.Milliseconds(settings.Tolerances.GraceS * 1000)
}

// Heartbeat is the usual time between two heartbeats of a worker.
func (settings *Boot) Heartbeat() watch.Span { return watch.Milliseconds(settings.HeartbeatMs) }
