package hollowfleet

import "lemonarch/internal/platform/constants"

// Result is what came of a run. Simulated repeats with the seed; Measured is processor
// time and memory of the machine that played it.
type Result struct {
	Plan      Plan      `json:"plan"`
	Simulated Simulated `json:"simulated"`
	Measured  Measured  `json:"measured"`
}

// Simulated is the part that a seed repeats.
type Simulated struct {
	Roles map[string]RoleTraffic `json:"roles"`
	// Kinds holds frames and bytes a second of the whole fleet, by kind and way.
	Kinds map[string]map[string]Rate `json:"kinds"`
	// Known is the time until all whom it concerns know, Acknowledged until the caller
	// has its answer; both in ms.
	Known        map[string]Times `json:"known"`
	Acknowledged map[string]Times `json:"acknowledged"`
	Refused      map[string]int   `json:"refused"`
	Weights      Ages             `json:"age-of-weights"`
	// Near are the ages of observations of workers of the own zone alone.
	Near Ages `json:"age-of-weights-in-zone"`
	// Loads is what workers really had, and how far that is from what is believed;
	// Turned is the part of requests that found no room.
	Loads  WorkerLoads `json:"worker-loads"`
	Turned float64     `json:"turned-away-share"`
	Lots   LotSums     `json:"lots"`
	Lost   int         `json:"processes-lost"`
}

// WorkerLoads is how many requests workers had at a look: the mean, its deviation, and
// the part of them above their capacity; BelievedOff is the mean difference from that
// of what a process believed.
type WorkerLoads struct {
	Mean        float64 `json:"mean"`
	Deviation   float64 `json:"deviation"`
	OverFull    float64 `json:"over-full-share"`
	BelievedOff float64 `json:"believed-off-by"`
}

// Rate is frames and bytes a second.
type Rate struct {
	Frames float64 `json:"frames-a-second"`
	Bytes  float64 `json:"bytes-a-second"`
}

// RoleTraffic is what one process of a role sends and gets, calls and answers.
type RoleTraffic struct {
	Processes int `json:"processes"`
	Out       Rate
	In        Rate
	// OutZones is the part of Out that leaves the zone, OutRegions that which leaves
	// the region. Worst is the largest sum of both directions at one process.
	OutZones   float64            `json:"out-between-zones-bytes-a-second"`
	OutRegions float64            `json:"out-between-regions-bytes-a-second"`
	Worst      float64            `json:"worst-bytes-a-second"`
	Steps      map[string]float64 `json:"steps-a-second"`
}

// LotSums is what became of lots.
type LotSums struct {
	HandedIn int   `json:"handed-in"`
	Listed   int64 `json:"items-listed"`
	Durable  Times `json:"durable"`
}

// Measured is what the machine spent.
type Measured struct {
	Roles map[string]RoleCost `json:"roles"`
	// HeapMB is the whole fleet's heap at the end.
	HeapMB float64 `json:"heap-mb"`
}

// RoleCost is what one process of a role costs.
type RoleCost struct {
	// Processor is processor ms a second by core, with reading and writing of messages
	// but without sockets; Worst is the largest sum at one process. StepMicros is the
	// mean of one step.
	Processor  map[string]float64 `json:"processor-ms-a-second"`
	StepMicros map[string]float64 `json:"step-us"`
	Worst      float64            `json:"worst-processor-ms-a-second"`
	// HeapKB is what a process keeps by mechanism.
	HeapKB map[string]float64 `json:"heap-kb"`
}

// roleNames lists the groups that results are told for.
var roleNames = []string{"gateway", "controller", "store", roleHolder}

// roleHolder is the store that holds the lots, told apart from the others.
const roleHolder = "holder"

func (f *Fleet) roleOf(node *Node) string {
	if node == f.storage.holder {
		return roleHolder
	}
	return constants.RoleName(node.own.Role)
}

func (f *Fleet) result() *Result {
	f.counting = false
	f.troubles.close()
	result := &Result{Plan: f.Plan, Simulated: Simulated{Roles: map[string]RoleTraffic{}, Kinds: map[string]map[string]Rate{},
		Known: map[string]Times{}, Acknowledged: map[string]Times{}, Refused: f.troubles.refuse, Weights: f.gossip.ages.result(), Near: f.gossip.near.result(),
		Lost: f.troubles.failed, Lots: LotSums{HandedIn: f.storage.made, Listed: f.storage.listed, Durable: timesOf(f.storage.waits, nil)}},
		Measured: Measured{Roles: map[string]RoleCost{}}}
	result.Simulated.Loads = f.gossip.loads()
	result.Simulated.Turned = float64(f.traffic.turned) / max(float64(f.traffic.asked), 1)
	perSecond := 1 / f.Plan.DurationS
	for kind, found := range f.kinds {
		rates := map[string]Rate{}
		for way, traffic := range found {
			rates[wayNames[way]] = Rate{float64(traffic.Frames) * perSecond, float64(traffic.Bytes) * perSecond}
		}
		result.Simulated.Kinds[kind.String()] = rates
	}
	for kind, taken := range f.troubles.taken {
		result.Simulated.Known[kind] = timesOf(taken, f.troubles.missed[kind])
	}
	for kind, missed := range f.troubles.missed {
		if _, received := result.Simulated.Known[kind]; !received {
			result.Simulated.Known[kind] = timesOf(nil, missed)
		}
	}
	for kind, taken := range f.troubles.acked {
		result.Simulated.Acknowledged[kind] = timesOf(taken, nil)
	}
	for _, role := range roleNames {
		f.sumUp(result, role, perSecond)
	}
	f.weigh(result)
	return result
}

// sumUp adds up one group of processes.
func (f *Fleet) sumUp(result *Result, role string, perSecond float64) {
	traffic, cost := RoleTraffic{Steps: map[string]float64{}}, RoleCost{Processor: map[string]float64{}, StepMicros: map[string]float64{}, HeapKB: map[string]float64{}}
	steps := [cores]int64{}
	for _, node := range f.nodes {
		if f.roleOf(node) != role {
			continue
		}
		traffic.Processes++
		both, busy := 0.0, 0.0
		for way := range ways {
			out, in := node.out[way], node.in[way]
			traffic.Out.Frames += float64(out.Frames) * perSecond
			traffic.Out.Bytes += float64(out.Bytes) * perSecond
			traffic.In.Frames += float64(in.Frames) * perSecond
			traffic.In.Bytes += float64(in.Bytes) * perSecond
			both += float64(out.Bytes+in.Bytes) * perSecond
		}
		traffic.OutZones += float64(node.out[WayZones].Bytes+node.out[WayRegions].Bytes) * perSecond
		traffic.OutRegions += float64(node.out[WayRegions].Bytes) * perSecond
		traffic.Worst = max(traffic.Worst, both)
		for core := range cores {
			spent := float64(node.costs[core].Nanoseconds) / 1e6 * perSecond
			cost.Processor[core.String()] += spent
			traffic.Steps[core.String()] += float64(node.costs[core].Steps) * perSecond
			steps[core] += node.costs[core].Steps
			if core != CorePlacement {
				busy += spent
			}
		}
		cost.Worst = max(cost.Worst, busy)
	}
	if traffic.Processes == 0 {
		return
	}
	count := float64(traffic.Processes)
	for core := range cores {
		name := core.String()
		if steps[core] > 0 {
			cost.StepMicros[name] = cost.Processor[name] * 1000 / (float64(steps[core]) * perSecond)
		}
		cost.Processor[name] /= count
		traffic.Steps[name] /= count
	}
	traffic.Out = Rate{traffic.Out.Frames / count, traffic.Out.Bytes / count}
	traffic.In = Rate{traffic.In.Frames / count, traffic.In.Bytes / count}
	traffic.OutZones /= count
	traffic.OutRegions /= count
	result.Simulated.Roles[role], result.Measured.Roles[role] = traffic, cost
}

// weigh measures what processes keep, by letting go of one mechanism after the other.
// The fleet is of no use afterwards.
func (f *Fleet) weigh(result *Result) {
	before := heapBytes()
	result.Measured.HeapMB = before / (1 << 20)
	for _, role := range roleNames {
		cost, known := result.Measured.Roles[role]
		if !known {
			continue
		}
		for _, mechanism := range f.mechanisms {
			running := 0
			for _, node := range f.nodes {
				if !node.down && f.roleOf(node) == role {
					running++
					node.answerers = nil
					node.life++
					mechanism.Drop(node)
				}
			}
			// What waits for these processes holds on to them as well.
			f.world.DropEvents()
			after := heapBytes()
			cost.HeapKB[mechanism.Name()] = max(0, before-after) / 1024 / float64(max(running, 1))
			before = after
		}
	}
}
