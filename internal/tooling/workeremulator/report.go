package workeremulator

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// moment is how things stood at some time.
type loadSample struct {
	at               clock.Instant
	running, waiting int
	used             int64
}

// note keeps how things stand, and forgets all but what reports still need. The
// lock is held.
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

// stood gives how things stood a report's age ago. The lock is held.
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

// load is what Lemonarch-Worker-Load says. The lock is held.
func (w *Worker) load() string {
	running, waiting, _ := w.engine.State()
	return strconv.Itoa(running) + "," + strconv.Itoa(waiting) + "," + strconv.Itoa(w.Settings.Shape.Capacity)
}
