package hollowfleet

import (
	"fmt"
	"os"
	"path/filepath"

	"lemonarch/internal/platform/errs"
)

// ErrNotStarted is the error of real processes that can't be played.
var ErrNotStarted = errs.Define("real processes")

// RealPlan is a small fleet of the real programs on loopback, at rest: no request, no
// lot, workers that beat. It is the check of what the hollow fleet leaves out, sockets
// and timers.
type RealPlan struct {
	// Programs is the folder of the built programs.
	Programs    string  `json:"-"`
	Gateways    int     `json:"gateways"`
	Stores      int     `json:"stores"`
	Controllers int     `json:"controllers"`
	Workers     int     `json:"workers"`
	SettleS     float64 `json:"settle-s"`
	CountS      float64 `json:"count-s"`
}

// RealRole is what one real process of a role costs at rest.
type RealRole struct {
	Processes int `json:"processes"`
	// ProcessorMs is processor ms a second, the kernel's part included.
	ProcessorMs float64 `json:"processor-ms-a-second"`
	SystemMs    float64 `json:"of-it-in-the-kernel"`
	// ResidentMB is its resident memory, OwnMB that which it shares with nobody.
	ResidentMB float64 `json:"resident-mb"`
	OwnMB      float64 `json:"own-mb"`
	WorstMs    float64 `json:"worst-processor-ms-a-second"`
}

// RealResult is what came of it.
type RealResult struct {
	Command   string              `json:"command"`
	Mechanism string              `json:"mechanism"`
	Plan      RealPlan            `json:"plan"`
	Roles     map[string]RealRole `json:"roles"`
	// FrameUs is the processor time of one frame on loopback, both ends, the kernel's
	// part included.
	FrameUs float64 `json:"frame-us"`
}

// realLimit bounds the processes that are started at a time.
const realLimit = 64

// Check gives one line for each senseless value.
func (r *RealPlan) Check() []string {
	var findings []string
	need := func(holds bool, format string, values ...any) {
		if !holds {
			findings = append(findings, fmt.Sprintf(format, values...))
		}
	}
	need(r.Gateways >= 1 && r.Stores >= 0 && r.Controllers >= 1, "--gateways and --controllers must be 1 or more, --stores 0 or more")
	need(r.Gateways+r.Stores+r.Controllers <= realLimit, "no more than %d processes in all", realLimit)
	need(r.Controllers <= r.Gateways, "--controllers must not be above --gateways: each stands beside a gateway")
	need(r.Workers >= 1 && r.Workers <= 2000, "--workers must be 1 to 2000")
	need(r.SettleS >= 0 && r.CountS > 0, "--settle must be 0 or more and --duration above 0")
	for _, name := range []string{"gateway", "controller", "store"} {
		_, err := os.Stat(filepath.Join(r.Programs, name))
		need(err == nil, "--programs has no %s: build them first", name)
	}
	return findings
}
