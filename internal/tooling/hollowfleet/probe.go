package hollowfleet

import (
	"fmt"
	"io"
	"runtime"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/replication"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// LotProbe is what one lot of a size costs the cores that keep it.
type LotProbe struct {
	Items     int `json:"items"`
	BodyBytes int `json:"body-bytes"`
	// TakeMs is the step that takes the lot, OutputUs the one that lists an output (the
	// mean over outputs drawn evenly), WaitingMs that which adds up what waits.
	TakeMs    float64 `json:"take-ms"`
	OutputUs  float64 `json:"output-us"`
	WaitingMs float64 `json:"waiting-ms"`
	// AllOutputsS is OutputUs times the items, in s.
	AllOutputsS float64 `json:"all-outputs-s"`
	// HeapMB is what the open lot keeps at its holder, ReplicaKB its slots at a store
	// once all outputs are there.
	HeapMB    float64 `json:"heap-mb"`
	ReplicaKB float64 `json:"replica-kb"`
	// Fits tells whether one frame and one store's append can carry the lot at all.
	Fits bool `json:"fits-a-frame"`
}

// LotSeries is that for lots of several sizes, with slopes over the items.
type LotSeries struct {
	Command   string           `json:"command"`
	Mechanism string           `json:"mechanism"`
	ItemBytes int              `json:"item-bytes"`
	Probes    []LotProbe       `json:"probes"`
	Slopes    map[string]Slope `json:"slopes"`
}

// sampledOutputs is how many outputs of a large lot are listed to learn the mean.
const sampledOutputs = 1500

// ProbeLots measures one lot of each size at its holder and at a store.
func ProbeLots(sizes []int, itemBytes int, progress io.Writer) *LotSeries {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	series := &LotSeries{ItemBytes: itemBytes, Slopes: map[string]Slope{}}
	for _, size := range sizes {
		series.Probes = append(series.Probes, probeLot(size, itemBytes))
		if progress != nil {
			fmt.Fprintf(progress, "lot items=%d output-us=%.1f\n", size, series.Probes[len(series.Probes)-1].OutputUs)
		}
	}
	for name, entry := range map[string]struct {
		unit string
		of   func(LotProbe) float64
	}{
		"take":        {"ms", func(probe LotProbe) float64 { return probe.TakeMs }},
		"output":      {"us", func(probe LotProbe) float64 { return probe.OutputUs }},
		"all outputs": {"s", func(probe LotProbe) float64 { return probe.AllOutputsS }},
		"waiting":     {"ms", func(probe LotProbe) float64 { return probe.WaitingMs }},
		"heap":        {"MB", func(probe LotProbe) float64 { return probe.HeapMB }},
		"replica":     {"KB", func(probe LotProbe) float64 { return probe.ReplicaKB }},
	} {
		slope := Slope{Unit: entry.unit}
		for _, probe := range series.Probes {
			slope.Points = append(slope.Points, Point{float64(probe.Items), entry.of(probe)})
		}
		if len(slope.Points) >= 3 {
			slope.Best, slope.All = BestFit(slope.Points)
			slope.AtLot = slope.Best.At(PageLargestLot)
			series.Slopes[name] = slope
		}
	}
	return series
}

// heapBytes is the live heap. It is collected twice: the first round only marks some of
// what pools and finalizers hold.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func probeLot(size, itemBytes int) LotProbe {
	probe := LotProbe{Items: size}
	record := lotRecord(size, itemBytes)
	probe.BodyBytes = len(record.Body)
	probe.Fits = len(record.Body) < constants.FrameLimit
	before := heapBytes()
	jobTable := dispatch.NewJobTable()
	probe.TakeMs = timed(func() { _ = jobTable.Apply(record) }) / 1e6
	probe.HeapMB = (heapBytes() - before) / (1 << 20)
	probe.WaitingMs = timed(func() { jobTable.WaitingTokens(func(*dispatch.Job) bool { return true }) }) / 1e6
	job := jobTable.Job(record.Job)
	stride := max(1, size/sampledOutputs)
	count, spent := 0, 0.0
	for i := 0; i < size; i += stride {
		output := &messages.Record{Kind: messages.RecordOutput, Job: record.Job, Item: job.Items[i].ID, Position: len(job.Listings)}
		spent += timed(func() { _ = jobTable.Apply(output) })
		count++
	}
	probe.OutputUs = spent / float64(count) / 1e3
	probe.AllOutputsS = probe.OutputUs * float64(size) / 1e6
	before = heapBytes()
	replica := replication.NewReplica("disk")
	for i := 0; i <= size; i++ {
		replica.Add(&messages.Record{Epoch: lotEpoch, Kind: messages.RecordOutput, Job: record.Job}, int64(i))
	}
	probe.ReplicaKB = (heapBytes() - before) / 1024
	runtime.KeepAlive(replica)
	runtime.KeepAlive(jobTable)
	runtime.KeepAlive(record)
	return probe
}

// lotRecord makes the record of a lot.
func lotRecord(size, itemBytes int) *messages.Record {
	body := &messages.JobBody{Path: "/v1/batch"}
	text := make([]byte, itemBytes)
	for i := 0; i < size; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprintf("item-%06d", i), Path: "/v1/generate", Tokens: 600, Body: text})
	}
	complete, _ := body.MarshalMsg(nil)
	return &messages.Record{Kind: messages.RecordJob, Job: "lot-00000001", Index: 1, Epoch: lotEpoch, Body: complete}
}

// timed is a function's processor time in ns.
func timed(function func()) float64 {
	started := threadTime()
	function()
	return float64(threadTime() - started)
}
