package sawhorse

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/almanac"
	"lemonarch/internal/boot"
	"lemonarch/internal/watch"
)

// The names in the lab's own configuration.
const (
	Host         = "lab.example"
	ModelService = "model"
	PlainService = "clerk"
	ModelName    = "lab-model"
	ProbePath    = "/health"
)

// settings makes the settings of one process.
func (plan *Plan) settings(one node, folder string, first bool) *boot.Boot {
	settings := &boot.Boot{NodeName: one.machine, Role: one.role, MachineClass: "edge", Address: one.address, Hall: one.hall, Region: "lab",
		InternalPorts: []int{almanac.LabInternalPort, almanac.LabInternalPort + 15}, Bootstrap: first, InQuorum: one.disk,
		HeartbeatMs: watch.ToMilliseconds(almanac.LabBeat), Halls: map[string]string{},
		Limits: boot.Limits{MemoryMB: almanac.LabMemoryMB, FileHandles: 4000, DiskMB: almanac.LabDiskMB},
		Tolerances: boot.Tolerances{DrainMs: almanac.LabDrainMs, GraceS: almanac.LabGrace.Seconds(), ConvergeMs: 2000, AckMs: 4000, SyncS: 5,
			StatusS: 300, CancelMs: 3000, SettlingMs: 1000, AddressReuseS: 2, QuotaOvershoot: 0.1}}
	// What may be lost is less than half of the smaller of the two sets.
	settings.FaultBudget.Machines = (min(plan.Foremen, plan.Lockers) - 1) / 2
	settings.Seeds = plan.Controls()[:min(3, plan.Foremen)]
	for place := 0; place < plan.Zones; place++ {
		settings.Halls[plan.hall(place)] = "lab"
	}
	bind := func(port int) string { return fmt.Sprintf("%s:%d", one.address, port) }
	switch one.role {
	case "forge":
		settings.Serves = []string{"edge"}
		settings.Bind = boot.Bind{Ingress: bind(almanac.LabIngressPort), Readiness: bind(almanac.LabReadyPort)}
	case "foreman":
		settings.Serves = []string{"controller"}
		settings.Bind = boot.Bind{Control: bind(almanac.LabControlPort)}
	case "locker":
		settings.Serves, settings.MachineClass = []string{"storage"}, "storage"
	}
	if one.disk {
		settings.DataDir = filepath.Join(folder, "data", one.name)
	}
	return settings
}

// write puts the settings file of a process in place.
func (plan *Plan) write(one node, folder string, first bool) (string, error) {
	settings := plan.settings(one, folder, first)
	if findings := settings.Check(); len(findings) > 0 {
		return "", Unfit.New("settings of " + one.name + ": " + findings[0])
	}
	if settings.DataDir != "" {
		if failure := os.MkdirAll(settings.DataDir, 0o755); failure != nil {
			return "", Unfit.Wrap(failure, "data folder of "+one.name)
		}
	}
	var text bytes.Buffer
	if failure := toml.NewEncoder(&text).Encode(settings); failure != nil {
		return "", Unfit.Wrap(failure, "settings of "+one.name)
	}
	path := filepath.Join(folder, one.name+".toml")
	return path, Unfit.Wrap(os.WriteFile(path, text.Bytes(), 0o644), "settings of "+one.name)
}

type object = map[string]any

// firstConfiguration is the lab's own: one route of each kind.
func (plan *Plan) firstConfiguration() []byte {
	route := func(name, kind, service string, setpoint, cutoff, priority int, more object) object {
		one := object{"name": name, "host": Host, "path-prefix": "/" + name + "/", "route-kind": kind, "backend": service,
			"setpoint-ms": setpoint, "cutoff-ms": cutoff, "priority": priority, "tries": 2}
		for key, value := range more {
			one[key] = value
		}
		return one
	}
	routes := []object{
		route("query", "streaming", ModelService, 500, 8000, 0, object{"affine": true, "resumable": true, "gap-setpoint-ms": 500}),
		route("review", "streaming", ModelService, 1000, 10000, 1, object{"affine": true, "resumable": false, "gap-setpoint-ms": 500}),
		route("confirm", "effectful", PlainService, 300, 3000, 0, nil),
		route("status", "idempotent", PlainService, 300, 3000, 1, nil),
		route("batch", "bulk", ModelService, 1000, 10000, 5, object{"affine": true, "result-setpoint-ms": 20000, "retain-s": 60,
			"backlog-cap": 2_000_000, "tries": 3}),
	}
	shape := plan.shape()
	body, failure := json.MarshalIndent(object{"generation": 1, "channels": routes, "backends": []object{
		{"name": ModelService, "probe": ProbePath, "conn-limit": almanac.LabConnLimit, "protocol": "h1", "tls": false,
			"engine": object{"capacity": shape.Capacity, "cache-tokens": shape.CacheTokens, "stride": shape.Stride, "models": []object{{"name": ModelName}}}},
		{"name": PlainService, "probe": ProbePath, "conn-limit": almanac.LabConnLimit, "protocol": "h1", "tls": false}},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-wait-ms": 3000, "idle-ms": 15000}}, "", "  ")
	if failure != nil {
		// Numbers and texts only: it can't fail.
		panic(failure)
	}
	return body
}
