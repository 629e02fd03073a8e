package workeremulator

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// loadSample is the load of the engine at one time.
type loadSample struct {
	at               clock.Instant
	running, waiting int
	used             int64
}

// recordLoad appends the current load to the history and drops samples that no report needs any
// more. The caller must hold the lock.
func (w *Worker) recordLoad() {
	now := w.clockValue.Now()
	running, waiting, used := w.engine.State()
	w.history = append(w.history, loadSample{now, running, waiting, used})
	old := 0
	for old+1 < len(w.history) && w.history[old+1].at.Add(constants.EmulatorReportAge) <= now {
		old++
	}
	w.history = w.history[old:]
}

// delayedLoad returns the load as it was EmulatorReportAge ago. The caller must hold the lock.
func (w *Worker) delayedLoad() loadSample {
	now, found := w.clockValue.Now(), loadSample{}
	for _, sample := range w.history {
		if sample.at.Add(constants.EmulatorReportAge) <= now {
			found = sample
		}
	}
	return found
}

type modelReport struct {
	Name       string   `json:"name"`
	Generation int64    `json:"generation"`
	Adapters   []string `json:"adapters"`
}

type report struct {
	Stage       string        `json:"stage"`
	Models      []modelReport `json:"models"`
	Utilization bool          `json:"utilization"`
	CallCount   int64         `json:"call-count"`
	Queued      int           `json:"queued"`
	Active      int           `json:"active"`
	CacheUsed   int64         `json:"cache-used"`
	CacheSize   int64         `json:"cache-size"`
	Handled     int64         `json:"handled"`
}

func (w *Worker) models() []modelReport {
	if w.Settings.Model == "" {
		return []modelReport{}
	}
	return []modelReport{{Name: w.Settings.Model, Generation: w.Settings.Revision, Adapters: []string{}}}
}

func (w *Worker) serveReport(writer http.ResponseWriter, _ *http.Request) {
	w.lock.Lock()
	sample := w.delayedLoad()
	current := report{Stage: "both", Models: w.models(), CallCount: w.handled, Queued: sample.waiting, Active: sample.running, CacheUsed: sample.used,
		CacheSize: w.Settings.Shape.CacheTokens, Handled: w.handled}
	w.lock.Unlock()
	httpreply.JSON(writer, http.StatusOK, current)
}

// load returns the value of Lemonarch-Worker-Load. The caller must hold the lock.
func (w *Worker) load() string {
	running, waiting, _ := w.engine.State()
	return strconv.Itoa(running) + "," + strconv.Itoa(waiting) + "," + strconv.Itoa(w.Settings.Shape.Capacity)
}
