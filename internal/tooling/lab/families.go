package lab

import (
	"fmt"
	"strconv"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/workeremulator"
)

// Family is one service of the fleet with its own workers, and one route of the same name to it.
type Family struct {
	Name string `toml:"name"`
	// Model is the model that its workers run. If empty, they serve plain requests that take WorkMs each.
	Model  string  `toml:"model"`
	WorkMs float64 `toml:"work-ms"`
	// Workers is the number of workers, Capacity the number of requests that each runs concurrently.
	Workers  int `toml:"workers"`
	Capacity int `toml:"capacity"`
	// CacheTokens is a worker's cache size in tokens, ReadPerMs the number of prompt tokens that it
	// prefills per ms. StepMs is the time per output token, to which each running request adds
	// StepEachMs. Stride is the number of tokens per event.
	CacheTokens int64   `toml:"cache-tokens"`
	ReadPerMs   float64 `toml:"read-per-ms"`
	StepMs      float64 `toml:"step-ms"`
	StepEachMs  float64 `toml:"step-each-ms"`
	Stride      int     `toml:"stride"`
	// TargetMs is the setpoint-ms of the route, GapMs its gap-setpoint-ms.
	TargetMs float64 `toml:"target-ms"`
	GapMs    float64 `toml:"gap-ms"`
}

// familiesMax and familyWorkersMax are the maximum numbers of families and of their workers together.
const (
	familiesMax      = 12
	familyWorkersMax = 60
)

// ReadFamilies reads and checks the families of a TOML file.
func ReadFamilies(path string) ([]Family, error) {
	file := struct {
		Families []Family `toml:"families"`
	}{}
	decoded, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, ErrInvalidLab.Wrap(err, path)
	}
	if unknown := decoded.Undecoded(); len(unknown) > 0 {
		return nil, ErrInvalidLab.New(path + ": unknown field " + unknown[0].String())
	}
	if err = checkFamilies(file.Families); err != nil {
		return nil, ErrInvalidLab.Wrap(err, path)
	}
	return file.Families, nil
}

// checkFamilies returns an error for the first invalid field, or nil.
func checkFamilies(families []Family) error {
	if len(families) == 0 || len(families) > familiesMax {
		return ErrInvalidLab.New(fmt.Sprintf("families: count must be between 1 and %d, got %d", familiesMax, len(families)))
	}
	seen, workers := map[string]bool{}, 0
	for i := range families {
		family := &families[i]
		if seen[family.Name] {
			return ErrInvalidLab.New(fmt.Sprintf("families[%d].name: %q is used twice", i, family.Name))
		}
		seen[family.Name] = true
		workers += family.Workers
		if field, valid := family.firstInvalidField(); !valid {
			return ErrInvalidLab.New(fmt.Sprintf("families[%d].%s: missing or out of range", i, field))
		}
	}
	if workers > familyWorkersMax {
		return ErrInvalidLab.New(fmt.Sprintf("families: %d workers in total, want at most %d", workers, familyWorkersMax))
	}
	return nil
}

// firstInvalidField returns the name of the first field that is missing or out of range and false, or
// true if all fields are valid.
func (f *Family) firstInvalidField() (field string, valid bool) {
	checks := []struct {
		field string
		valid bool
	}{
		{"name", f.Name != ""}, {"workers", f.Workers > 0}, {"capacity", f.Capacity > 0}, {"target-ms", f.TargetMs > 0},
		{"work-ms", f.Model != "" || f.WorkMs > 0}, {"cache-tokens", f.Model == "" || f.CacheTokens >= 1000},
		{"read-per-ms", f.Model == "" || f.ReadPerMs > 0}, {"step-ms", f.Model == "" || f.StepMs > 0},
		{"step-each-ms", f.StepEachMs >= 0}, {"stride", f.Model == "" || f.Stride > 0}, {"gap-ms", f.GapMs >= 0},
	}
	for _, check := range checks {
		if !check.valid {
			return check.field, false
		}
	}
	return "", true
}

// settings returns the settings of each worker of the family.
func (f *Family) settings() workeremulator.Settings {
	shape := workeremulator.Shape{Capacity: f.Capacity, Queue: f.Capacity / 2, CacheTokens: f.CacheTokens, ReadPerMs: f.ReadPerMs,
		Step: clock.Milliseconds(f.StepMs), StepEach: clock.Milliseconds(f.StepEachMs), Stride: f.Stride}
	return workeremulator.Settings{Service: f.Name, Model: f.Model, Work: clock.Milliseconds(f.WorkMs), Shape: shape,
		ConnLimit: constants.LabConnLimit, Probe: ProbePath, Revision: 1}
}

// familyWorkerSlots returns the slots of the workers of all families.
func (p *Plan) familyWorkerSlots() []*workerSlot {
	var all []*workerSlot
	for i := range p.Families {
		for number := range p.Families[i].Workers {
			workerSettings := p.Families[i].settings()
			workerSettings.Zone = p.zone(number)
			all = append(all, &workerSlot{name: p.Families[i].Name + "-" + strconv.Itoa(number+1), workerSettings: workerSettings, seed: p.Seed*1000 + int64(len(all)),
				address: p.host(constants.LabWorkerHost, len(all), constants.LabWorkerPort)})
		}
	}
	return all
}

// familyConfiguration returns a configuration with a route and a service for each family.
func (p *Plan) familyConfiguration() []byte {
	config := routeconfig.Config{Generation: 1,
		Limits: routeconfig.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderWaitMs: 3000, IdleMs: 15000}}
	for i := range p.Families {
		family := &p.Families[i]
		route := routeconfig.Route{KindName: "idempotent", Backend: family.Name, SetpointMs: family.TargetMs, CutoffMs: 10_000, MaxAttempts: 1}
		service := routeconfig.Service{Name: family.Name, Probe: ProbePath, ConnLimit: constants.LabConnLimit}
		if family.Model != "" {
			route.KindName, route.Affine, route.GapMs = "streaming", true, family.GapMs
			service.Engine = &routeconfig.Engine{Capacity: family.Capacity, CacheTokens: family.CacheTokens}
		}
		config.Routes = append(config.Routes, labRoute(family.Name, route))
		config.Services = append(config.Services, service)
	}
	return config.Encode()
}
