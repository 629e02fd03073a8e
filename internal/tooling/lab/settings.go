package lab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/settings"
)

// Names in the lab's built-in configuration.
const (
	Host         = "lab.example"
	ModelService = "model"
	PlainService = "clerk"
	ModelName    = "lab-model"
	ProbePath    = "/health"
)

// nodeSettings returns the settings of one process. first is true for the first start of the
// process, in which it bootstraps the fleet.
func (p *Plan) nodeSettings(spec node, folder string, first bool) *settings.Settings {
	nodeSettings := &settings.Settings{NodeName: spec.machine, Role: spec.role, MachineClass: "edge", Address: spec.address, Zone: spec.zone, Region: "lab",
		InternalPorts: []int{constants.LabInternalPort, constants.LabInternalPort + 15}, Bootstrap: first, InQuorum: spec.disk,
		HeartbeatMs: clock.ToMilliseconds(constants.LabHeartbeat), Zones: map[string]string{},
		Limits: p.limits(),
		Tolerances: settings.Tolerances{DrainMs: constants.LabDrainMs, GraceS: constants.LabGrace.Seconds(), ConvergeMs: clock.ToMilliseconds(constants.ConfigConverge), AckMs: 4000, SyncS: 5,
			StatusS: 300, CancelMs: 3000, SettlingMs: 1000, AddressReuseS: 2, QuotaOvershoot: 0.1}}
	// The fault budget is less than half of the smaller of the two sets, controllers and stores.
	nodeSettings.FaultBudget.Machines = (min(p.Controllers, p.Stores) - 1) / 2
	nodeSettings.Seeds = p.Controls()[:min(3, p.Controllers)]
	for i := 0; i < p.Zones; i++ {
		nodeSettings.Zones[p.zone(i)] = "lab"
	}
	bind := func(port int) string { return fmt.Sprintf("%s:%d", spec.address, port) }
	switch spec.role {
	case "gateway":
		nodeSettings.Serves = []string{"edge"}
		nodeSettings.Bind = settings.Bind{Ingress: bind(constants.LabIngressPort), Readiness: bind(constants.LabReadyPort)}
	case "controller":
		nodeSettings.Serves = []string{"controller"}
		nodeSettings.Bind = settings.Bind{Control: bind(constants.LabControlPort)}
	case "store":
		nodeSettings.Serves, nodeSettings.MachineClass = []string{"storage"}, "storage"
	}
	if spec.disk {
		nodeSettings.DataDir = filepath.Join(folder, "data", spec.name)
	}
	return nodeSettings
}

// limits returns the resource limits in the settings of each process.
func (p *Plan) limits() settings.Limits {
	limits := settings.Limits{MemoryMB: constants.LabMemoryMB, FileHandles: constants.LabFileHandles, DiskMB: constants.LabDiskMB}
	if p.MemoryMB > 0 {
		limits.MemoryMB = p.MemoryMB
	}
	if p.FileHandles > 0 {
		limits.FileHandles = p.FileHandles
	}
	return limits
}

// writeSettings creates the data folder of a process and writes its settings file. It returns the path.
func (p *Plan) writeSettings(spec node, folder string, first bool) (string, error) {
	nodeSettings := p.nodeSettings(spec, folder, first)
	if findings := nodeSettings.Check(); len(findings) > 0 {
		return "", ErrInvalidLab.New("settings of " + spec.name + ": " + findings[0])
	}
	if nodeSettings.DataDir != "" {
		if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
			return "", ErrInvalidLab.Wrap(err, "data folder of "+spec.name)
		}
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(nodeSettings); err != nil {
		return "", ErrInvalidLab.Wrap(err, "settings of "+spec.name)
	}
	path := filepath.Join(folder, spec.name+".toml")
	return path, ErrInvalidLab.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "settings of "+spec.name)
}
