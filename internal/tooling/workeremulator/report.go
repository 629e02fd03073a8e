package workeremulator

import (
	"net/http"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/httpreply"
)

// moment is how things stood at some time.
type moment struct {
	at               clock.Moment
	running, waiting int
	used             int64
}

// note keeps how things stand, and forgets all but what reports still need. The
// lock is held.
func (worker *Worker) note() {
	now := worker.clockValue.Now()
	running, waiting, used := worker.engine.State()
	worker.history = append(worker.history, moment{now, running, waiting, used})
	old := 0
	for old+1 < len(worker.history) && worker.history[old+1].at.Plus(constants.EmulatorReportAge) <= now {
		old++
	}
	worker.history = worker.history[old:]
}

// stood gives how things stood a report's age ago. The lock is held.
func (worker *Worker) stood() moment {
	now, found := worker.clockValue.Now(), moment{}
	for _, one := range worker.history {
		if one.at.Plus(constants.EmulatorReportAge) <= now {
			found = one
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

func (worker *Worker) models() []modelReport {
	if worker.Settings.Model == "" {
		return []modelReport{}
	}
	return []modelReport{{Name: worker.Settings.Model, Generation: worker.Settings.Revision, Adapters: []string{}}}
}

func (worker *Worker) answerReport(writer http.ResponseWriter, _ *http.Request) {
	worker.lock.Lock()
	stood := worker.stood()
	one := report{Stage: "both", Models: worker.models(), CallCount: worker.handled, Queued: stood.waiting, Active: stood.running, CacheUsed: stood.used,
		CacheSize: worker.Settings.Shape.CacheTokens, Handled: worker.handled}
	worker.lock.Unlock()
	httpreply.JSON(writer, http.StatusOK, one)
}

// load is what Lemonarch-Worker-Load says. The lock is held.
func (worker *Worker) load() string {
	running, waiting, _ := worker.engine.State()
	return strconv.Itoa(running) + "," + strconv.Itoa(waiting) + "," + strconv.Itoa(worker.Settings.Shape.Capacity)
}
