package agent

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// reporter is the state of the periodic reports to controllers.
type reporter struct {
	rounds int
	// firstController is the address of the controller that took the last full report.
	firstController string
	// onReportResponse, on a controller, completes what it answers to a report;
	// onControllerReport is notified of what a controller answered. Set before Start.
	onReportResponse   func(resp *messages.Shuffle)
	onControllerReport func(address string, resp *messages.Shuffle)
}

// OnReportResponse registers who adds to what a controller answers in the periodic exchange.
func (a *Agent) OnReportResponse(function func(resp *messages.Shuffle)) {
	a.reporter.onReportResponse = function
}

// OnControllerReport registers who is notified of what a controller answered.
func (a *Agent) OnControllerReport(function func(address string, resp *messages.Shuffle)) {
	a.reporter.onControllerReport = function
}

// join asks the seeds until a controller is known, then goes over to the periodic
// exchange. Controllers have a period of their own (constants.ControllerHeartbeatPeriod).
func (a *Agent) join() {
	const minRounds = 10
	controller := a.Self.Role == membership.RoleController
	for round := 0; ; round++ {
		for _, seed := range a.Settings.SeedAddresses(constants.PortController) {
			if seed != a.Self.Address {
				go a.report(seed, false)
			}
		}
		clock.Sleep(constants.StartBackoff * 2)
		// Controllers that all start at once go on until they have met.
		if len(a.Live(membership.RoleController)) > 0 && (!controller || round > minRounds) {
			break
		}
		select {
		case <-a.Stop:
			return
		default:
		}
	}
	if controller {
		return
	}
	a.exchange()
	// Processes that start at one moment must not all ask at one moment ever after.
	clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ShufflePeriod))))
	go clock.Every(constants.SecondReportPeriod, a.Stop, a.secondReport)
	clock.Every(constants.ShufflePeriod, a.Stop, a.exchange)
}

// exchange is the periodic report to a controller of the zone, or of another zone while
// this one's don't answer or are detached; now and then, and while no controller
// answers, views are exchanged with a neighbour.
func (a *Agent) exchange() {
	a.lock.Lock()
	a.reporter.rounds++
	round := a.reporter.rounds
	controllers := a.view.Controllers(clock.Now())
	a.lock.Unlock()
	first := a.reportToAny(controllers, false)
	if first == "" {
		// The seeds may know controllers that started since.
		seeds := a.Settings.SeedAddresses(constants.PortController)
		first = a.reportToAny([]messages.NodeInfo{{Address: seeds[rand.Intn(len(seeds))]}}, false)
	}
	a.lock.Lock()
	a.reporter.firstController = first
	a.lock.Unlock()
	if first == "" || round%constants.NeighbourRounds == 0 {
		a.lock.Lock()
		partner := a.view.Partner(clock.Now())
		a.lock.Unlock()
		if partner != "" {
			a.shuffleWith(partner)
		}
	}
}

// secondReport is the short report to a second controller, drawn anew each time: neither
// this process's sign of life nor the updates that it gets depend on one neighbour.
func (a *Agent) secondReport() {
	a.lock.Lock()
	controllers := a.view.SecondControllers(a.reporter.firstController, clock.Now())
	a.lock.Unlock()
	a.reportToAny(controllers, true)
}

// reportToAny reports to the first controller of a list that is in contact with a
// majority, and gives its address. It gives up after a few that are silent.
func (a *Agent) reportToAny(controllers []messages.NodeInfo, brief bool) string {
	const maxTimeouts = 3
	for timeouts, i := 0, 0; i < len(controllers) && timeouts < maxTimeouts; i++ {
		switch a.report(controllers[i].Address, brief) {
		case reportAccepted:
			return controllers[i].Address
		case reportTimeout:
			timeouts++
		}
	}
	return ""
}

// reportResult is how a report to a controller ended.
type reportResult int

// The results of a report.
const (
	// reportAccepted: the controller is in contact with a majority and answered.
	reportAccepted reportResult = iota
	// reportDetached: it answered that it is not in contact; others are asked at once.
	reportDetached
	// reportTimeout: it did not answer in time.
	reportTimeout
)

// report asks one controller and takes its answer.
func (a *Agent) report(address string, brief bool) reportResult {
	a.lock.Lock()
	req := a.view.BriefReport()
	if !brief {
		req = a.view.Report()
	}
	a.lock.Unlock()
	resp := &messages.Shuffle{}
	result := reportAccepted
	if transport.Call(a.Transport, address, messages.KindShuffle, req, resp, constants.ReportTimeout) != nil {
		result = reportTimeout
	} else if resp.Detached {
		result = reportDetached
	}
	if result != reportAccepted {
		a.lock.Lock()
		a.view.Failed(address, clock.Now())
		a.lock.Unlock()
		return result
	}
	a.lock.Lock()
	a.RecordLocalities(resp.Entries)
	a.view.HandleReportResponse(req, resp, clock.Now())
	a.lock.Unlock()
	a.observeEntries(resp.Entries)
	a.observePlan(resp.PlanRevision, address)
	if a.reporter.onControllerReport != nil {
		a.reporter.onControllerReport(address, resp)
	}
	return result
}

func (a *Agent) shuffleWith(address string) {
	a.lock.Lock()
	req := &messages.Shuffle{Entries: a.view.Offer(clock.Now())}
	a.lock.Unlock()
	resp := &messages.Shuffle{}
	if transport.Call(a.Transport, address, messages.KindShuffle, req, resp, constants.CallTimeout) == nil {
		a.observe(resp.Entries)
	}
}

func (a *Agent) handleShuffle(req *messages.Shuffle) (*messages.Shuffle, error) {
	a.observe(req.Entries)
	a.lock.Lock()
	var resp *messages.Shuffle
	if a.Self.Role == membership.RoleController {
		resp = a.view.RespondToReport(req, clock.Now())
	} else {
		resp = &messages.Shuffle{Entries: a.view.Offer(clock.Now())}
	}
	a.lock.Unlock()
	if a.reporter.onReportResponse != nil {
		a.reporter.onReportResponse(resp)
	}
	return resp, nil
}

// Observe takes entries as a shuffle brings them.
func (a *Agent) Observe(entries []messages.NodeInfo) { a.observe(entries) }

func (a *Agent) observe(entries []messages.NodeInfo) {
	a.lock.Lock()
	a.RecordLocalities(entries)
	a.view.Observe(entries, clock.Now())
	a.lock.Unlock()
	a.observeEntries(entries)
}

// observeEntries follows the newest configuration that an entry names, and asks the process
// of that entry for it first: others may not have it.
func (a *Agent) observeEntries(entries []messages.NodeInfo) {
	var newest messages.NodeInfo
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	a.ObserveGenerationAt(newest.Generation, newest.Address)
}
