// Package hollowfleet is the hollow fleet: hundreds of processes with the real cores of
// membership, spreading, gossip, register, holds and lots in one process, without a
// data plane, on the transport in memory and a simulated clock. It is for measuring
// what grows with the size of a fleet; nothing of it is part of the serving tier.
package hollowfleet

import (
	"fmt"
	"time"

	"lemonarch/internal/platform/clock"
)

// Plan says how large a fleet is and what happens to it. All rates are of the whole
// fleet.
type Plan struct {
	// Nodes is the number of machines; every StoreEach-th is a storage machine, the
	// rest are edge machines, and the first of each zone runs a controller as well.
	Nodes     int `json:"nodes"`
	StoreEach int `json:"store-each"`
	Zones     int `json:"zones"`
	Regions   int `json:"regions"`
	Workers   int `json:"workers"`
	Models    int `json:"models"`
	Tenants   int `json:"tenants"`
	// Requests a second; each is placed at a worker and held there for WaitedMs. LongShare
	// is the part of them with a long prompt, which is told to peers.
	Requests  float64 `json:"requests-a-second"`
	HeldMs    float64 `json:"request-held-ms"`
	LongShare float64 `json:"long-share"`
	// Lots a minute of JobItemsMax items each, with bodies and outputs of ItemBytes.
	Lots      float64 `json:"lots-a-minute"`
	LotItems  int     `json:"lot-items"`
	ItemBytes int     `json:"item-bytes"`
	// Changes of the configuration a minute, of a body of ConfigBytes.
	Changes     float64 `json:"changes-a-minute"`
	ConfigBytes int     `json:"config-bytes"`
	// Turns of workers a minute: each drains and comes back as a new life.
	Turns       float64 `json:"worker-turns-a-minute"`
	HeartbeatMs float64 `json:"heartbeat-ms"`
	// Failures of machines a minute; each is away for DownS. Rack, Zone and Regions
	// are lost once each where the moment is above 0, for the seconds given.
	Failures float64 `json:"failures-a-minute"`
	DownS    float64 `json:"down-s"`
	RackS    float64 `json:"rack-lost-s"`
	ZoneS    float64 `json:"zone-lost-s"`
	PartS    float64 `json:"regions-parted-s"`
	// Delays of a frame one way, in ms: within a zone, between zones, between regions.
	NearMs   float64 `json:"near-ms"`
	ZonesMs  float64 `json:"zones-ms"`
	RegionMs float64 `json:"regions-ms"`
	// WarmS is simulated before anything is counted, DurationS after it.
	WarmS     float64 `json:"warm-s"`
	DurationS float64 `json:"duration-s"`
	Seed      int64   `json:"seed"`
}

// Usual is the plan that flags change: rates in proportion to its nodes, as the page
// gives them for 390.
func Usual() Plan {
	return Plan{Nodes: 50, StoreEach: 6, Zones: 8, Regions: 2, Workers: 77, Models: 24, Tenants: 22000,
		HeldMs: 900, LongShare: 0.08, LotItems: 200, ItemBytes: 1200, ConfigBytes: 64 << 10, HeartbeatMs: 1000, DownS: 20,
		NearMs: 0.25, ZonesMs: 1, RegionMs: 10, WarmS: 20, DurationS: 60, Seed: 1}
}

// The page's figures at the size to come.
const (
	// PageNodes, PageWorkers and PageRequests are the size to come, and the rates below
	// are those of a day (in 86,400 s) there.
	PageNodes    = 390
	PageWorkers  = 600
	PageRequests = 7900.0
	PageChanges  = 2300.0
	PageItems    = 11e6
	PageLots     = 1300.0
	// PageLargestLot is the most items in one lot.
	PageLargestLot = 420_000.0
)

// Scale sets requests, in proportion to the nodes, where none are given.
func (p *Plan) Scale() {
	if p.Requests == 0 {
		p.Requests = PageRequests * float64(p.Nodes) / PageNodes
	}
}

// Check gives one line for each senseless value, with the name of its flag.
func (p *Plan) Check() []string {
	var findings []string
	need := func(holds bool, format string, values ...any) {
		if !holds {
			findings = append(findings, fmt.Sprintf(format, values...))
		}
	}
	need(p.Nodes >= 2 && p.Nodes <= 4000, "--nodes must be 2 to 4000, not %d", p.Nodes)
	need(p.Zones >= 1 && p.Zones <= p.Nodes, "--zones must be 1 to the number of nodes, not %d", p.Zones)
	need(p.Regions >= 1 && p.Regions <= p.Zones, "--regions must be 1 to the number of zones, not %d", p.Regions)
	need(p.Workers >= 1 && p.Workers <= 20000, "--workers must be 1 to 20000, not %d", p.Workers)
	need(p.StoreEach >= 2, "--store-each must be 2 or more, not %d", p.StoreEach)
	need(p.Models >= 1, "--models must be 1 or more, not %d", p.Models)
	need(p.LotItems >= 1 && p.LotItems <= 1_000_000, "--lot-items must be 1 to 1000000, not %d", p.LotItems)
	need(p.ItemBytes >= 1 && p.ItemBytes <= 1<<20, "--item-bytes must be 1 to 1048576, not %d", p.ItemBytes)
	need(p.ConfigBytes >= 200 && p.ConfigBytes <= 8<<20, "--config-bytes must be 200 to 8388608, not %d", p.ConfigBytes)
	need(p.DurationS > 0 && p.DurationS <= 86400, "--duration must be above 0 and at most 24h")
	need(p.WarmS >= 0 && p.WarmS <= 3600, "--warm must be 0 to 1h")
	rates := map[string]float64{"--requests": p.Requests, "--lots": p.Lots, "--changes": p.Changes,
		"--turns": p.Turns, "--failures": p.Failures}
	for _, name := range sortedKeys(rates) {
		need(rates[name] >= 0, "%s must not be below 0", name)
	}
	losses := map[string]float64{"--rack": p.RackS, "--zone": p.ZoneS, "--part": p.PartS}
	for _, name := range sortedKeys(losses) {
		need(losses[name] >= 0 && losses[name] < p.DurationS, "%s must be 0 or more and shorter than --duration", name)
	}
	need(p.PartS == 0 || p.Regions > 1, "--part needs two regions or more")
	need(p.HeartbeatMs > 0, "--heartbeat must be above 0")
	return findings
}

// seconds turns seconds into a span.
func seconds(count float64) clock.Duration { return clock.Duration(count * float64(time.Second)) }

// The budgets for control at one node: processor ms a second (4.4% of a core), bytes a
// second, and memory in KB.
const (
	BudgetProcessorMs = 44.0
	BudgetBytes       = 16 << 10
	BudgetHeapKB      = 64 << 10
)
