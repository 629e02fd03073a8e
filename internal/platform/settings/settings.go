// Package settings reads and checks the settings file of a process.
package settings

import (
	"net"
	"os"
	"strconv"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
)

// PathVariable is the name of the environment variable with the path of the settings file.
const PathVariable = "LEMONARCH_SETTINGS"

// ErrInvalid is the kind of all errors of this package.
var ErrInvalid = errs.Define("settings")

// Settings is the configuration that a process reads at its start. Unknown fields are ignored.
type Settings struct {
	NodeName     string   `toml:"node-name"`
	Role         string   `toml:"role"`
	MachineClass string   `toml:"machine-class"`
	Serves       []string `toml:"serves"`
	Address      string   `toml:"ip"`
	Zone         string   `toml:"zone"`
	Region       string   `toml:"region"`
	// InternalPorts contains the first and the last port of the range for the roles' internal ports.
	InternalPorts []int    `toml:"internal-ports"`
	Seeds         []string `toml:"seeds"`
	// Bootstrap marks the first start of the system, at which the seeds become the acceptor set.
	Bootstrap bool `toml:"bootstrap"`
	// InQuorum lets a controller without DataDir be an acceptor.
	InQuorum    bool    `toml:"in-quorum"`
	DataDir     string  `toml:"data-dir"`
	HeartbeatMs float64 `toml:"heartbeat-ms"`
	// Zones has an entry for each zone of the fleet. Only the number of entries is used; if there are
	// none, the fault budget determines how many zones the first store set spans.
	Zones       map[string]string `toml:"zones"`
	Bind        Bind              `toml:"bind-addresses"`
	Limits      Limits            `toml:"limits"`
	FaultBudget FaultBudget       `toml:"fault-budget"`
	Tolerances  Tolerances        `toml:"tolerances"`
}

// Bind lists the addresses on which the process listens for the services of its role.
type Bind struct {
	Ingress   string `toml:"ingress"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"control"`
}

// Limits lists the resources of the machine that the process may use. FileHandles and DiskMB are not
// limited if they are 0.
type Limits struct {
	MemoryMB    int `toml:"memory-mb"`
	FileHandles int `toml:"file-handles"`
	DiskMB      int `toml:"disk-mb"`
}

// FaultBudget is how many machines, zones and regions may fail at the same time.
type FaultBudget struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Tolerances lists the time limits and tolerances that the rules of operation refer to. The
// suffixes Ms and S are the units. The processes use only GraceS, which is required, CancelMs, for
// which 0 means that it is not set (see dispatch.LockDuration), and StatusS, the retention period of
// finished jobs, for which 0 means that they are dropped without delay.
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

// Load reads and checks the settings file whose path is in the environment variable PathVariable.
func Load() (*Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return nil, ErrInvalid.New(PathVariable + " is not set")
	}
	return LoadFile(path)
}

// LoadFile reads and checks one settings file.
func LoadFile(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't read the file")
	}
	return Parse(data)
}

// Parse reads and checks the text of a settings file. If only the check fails, it returns the settings
// with the error, so that Check can list all findings.
func Parse(data []byte) (*Settings, error) {
	nodeSettings := &Settings{}
	if _, err := toml.Decode(string(data), nodeSettings); err != nil {
		return nil, ErrInvalid.Wrap(err, "not readable as TOML")
	}
	if findings := nodeSettings.Check(); len(findings) > 0 {
		// The error has one line and names only the first finding; Check lists all of them.
		return nodeSettings, ErrInvalid.New(findings[0])
	}
	return nodeSettings, nil
}

// Check returns a finding for every missing field and every invalid value.
func (s *Settings) Check() []string {
	var findings []string
	require := func(condition bool, finding string) {
		if !condition {
			findings = append(findings, finding)
		}
	}
	require(s.NodeName != "", "node-name is missing")
	require(s.Zone != "", "zone is missing")
	require(net.ParseIP(s.Address) != nil, "ip is missing or not an address")
	require(len(s.InternalPorts) == 2 && s.InternalPorts[0] > 0 &&
		s.InternalPorts[1] >= s.InternalPorts[0]+2 && s.InternalPorts[1] < 65536,
		"internal-ports must be two ports at least two apart")
	require(len(s.Seeds) > 0, "seeds is missing")
	for _, seed := range s.Seeds {
		require(addressValid(seed), "seeds contains "+strconv.Quote(seed)+", which is not an address")
	}
	require(s.Limits.MemoryMB > 16, "limits.memory-mb is missing or too small")
	budget := s.FaultBudget
	require(min(budget.Machines, budget.Zones, budget.Regions) >= 0, "fault-budget is below 0")
	require(s.HeartbeatMs > 0, "heartbeat-ms is missing or not above 0")
	require(s.Tolerances.GraceS > 0, "tolerances.grace-s is missing or not above 0")
	for _, service := range s.Serves {
		switch service {
		case "edge":
			require(addressValid(s.Bind.Ingress), "bind-addresses.ingress is missing or not an address")
			require(addressValid(s.Bind.Readiness), "bind-addresses.readiness is missing or not an address")
		case "controller":
			// Without data-dir a controller serves calls but has no vote, so data-dir is optional.
			require(addressValid(s.Bind.Control), "bind-addresses.control is missing or not an address")
		case "storage":
			require(s.DataDir != "", "data-dir is missing")
		}
	}
	return findings
}

func addressValid(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number > 0 && number < 65536
}

// InternalAddress returns the address of a role's internal port on a host; offset is the role's offset
// from the first internal port.
func (s *Settings) InternalAddress(host string, offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.InternalPorts[0]+offset))
}

// SeedAddresses returns the internal addresses of the controllers listed as seeds; offset has the same
// meaning as in InternalAddress.
func (s *Settings) SeedAddresses(offset int) []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, s.InternalAddress(host, offset))
		}
	}
	return addresses
}

// MemoryShare returns a share, from 0 to 1, of the memory limit in bytes.
func (l Limits) MemoryShare(share float64) int64 {
	return int64(share * float64(l.MemoryMB) * (1 << 20))
}

// Budget returns how many members of a set may fail at the same time.
func (s *Settings) Budget() int {
	budget := s.FaultBudget
	// The members of a set are in different zones, so the loss of a zone affects one of them.
	return max(budget.Machines, budget.Zones, budget.Regions)
}

// Grace returns the time between SIGTERM and SIGKILL.
func (s *Settings) Grace() clock.Duration {
	return clock.Milliseconds(s.Tolerances.GraceS * 1000)
}

// Heartbeat returns the usual interval between two heartbeats of a worker.
func (s *Settings) Heartbeat() clock.Duration {
	return clock.Milliseconds(s.HeartbeatMs)
}
