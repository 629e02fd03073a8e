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
	// rounds counts the calls of exchange.
	rounds int
	// firstController is the address of the controller that accepted the last full report, empty if
	// none did.
	firstController string
	// onReportResponse, on a controller, completes the response to a report; onControllerReport is
	// called with the response of a controller that accepted a report. Set before Start.
	onReportResponse   func(resp *messages.Shuffle)
	onControllerReport func(address string, resp *messages.Shuffle)
}

// OnReportResponse registers a function that completes a controller's response to a periodic report.
func (a *Agent) OnReportResponse(function func(resp *messages.Shuffle)) {
	a.reporter.onReportResponse = function
}

// OnControllerReport registers a function that is called with each response to a report from a
// controller that is in contact with a majority.
func (a *Agent) OnControllerReport(function func(address string, resp *messages.Shuffle)) {
	a.reporter.onControllerReport = function
}

// join reports to the seeds until a controller is known, then runs the periodic reports. Controllers
// do not run them, because they send heartbeats to each other every
// constants.ControllerHeartbeatPeriod.
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
		// Controllers that all start at the same time continue for more than minRounds rounds, so that
		// each learns of the others.
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
	// A random delay keeps processes that start at the same time from reporting at the same time in
	// every later period.
	clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ShufflePeriod))))
	go clock.Every(constants.SecondReportPeriod, a.Stop, a.secondReport)
	clock.Every(constants.ShufflePeriod, a.Stop, a.exchange)
}

// exchange makes the periodic report to a controller of this zone, or of another zone while the
// controllers of this one do not respond or are detached. Every constants.NeighbourRounds rounds,
// and whenever no controller accepted the report, it also shuffles views with a random process.
func (a *Agent) exchange() {
	a.lock.Lock()
	a.reporter.rounds++
	round := a.reporter.rounds
	controllers := a.view.Controllers(clock.Now())
	a.lock.Unlock()
	first := a.reportToAny(controllers, false)
	if first == "" {
		// The seeds may know controllers that have started since the view was last updated.
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

// secondReport makes the brief report to a second controller. The controller is selected at random each
// time, so that neither the other processes' view of this process as live nor the updates that it
// receives depend on a single controller.
func (a *Agent) secondReport() {
	a.lock.Lock()
	controllers := a.view.SecondControllers(a.reporter.firstController, clock.Now())
	a.lock.Unlock()
	a.reportToAny(controllers, true)
}

// reportToAny reports to the first controller of a list that is in contact with a majority, and returns
// its address. It returns the empty string if there is none, or after maxTimeouts timeouts.
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

// reportResult is the outcome of a report to a controller.
type reportResult int

// The results of a report.
const (
	// reportAccepted: the controller responded and is in contact with a majority.
	reportAccepted reportResult = iota
	// reportDetached: the controller responded that it is not in contact with a majority; the next
	// one is tried immediately.
	reportDetached
	// reportTimeout: the call failed or timed out.
	reportTimeout
)

// report sends a report to one controller and handles the response.
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

// Observe merges entries from a shuffle into the view and follows the newest configuration among them.
// The first entry is that of the sender.
func (a *Agent) Observe(entries []messages.NodeInfo) { a.observe(entries) }

func (a *Agent) observe(entries []messages.NodeInfo) {
	a.lock.Lock()
	a.RecordLocalities(entries)
	a.view.Observe(entries, clock.Now())
	a.lock.Unlock()
	a.observeEntries(entries)
}

// observeEntries pulls the newest configuration among the entries, first from the process that follows
// it, because others may not have it yet.
func (a *Agent) observeEntries(entries []messages.NodeInfo) {
	var newest messages.NodeInfo
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	a.ObserveGenerationAt(newest.Generation, newest.Address)
}
