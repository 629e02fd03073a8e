package node

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// OnReportResponse registers who adds to what a controller answers in the periodic exchange.
func (n *Node) OnReportResponse(function func(resp *messages.Shuffle)) { n.onReportResponse = function }

// OnControllerReport registers who hears what a controller answered.
func (n *Node) OnControllerReport(function func(address string, resp *messages.Shuffle)) {
	n.onControllerReport = function
}

// meet asks the seeds until a controller is known, then goes over to the periodic
// exchange. Controllers have a period of their own (the controller's beat).
func (n *Node) meet() {
	const meetings = 10
	controller := n.Self.Role == membership.RoleController
	for round := 0; ; round++ {
		for _, seed := range n.Settings.SeedAddresses(constants.PortController) {
			if seed != n.Self.Address {
				go n.report(seed, false)
			}
		}
		clock.Sleep(constants.StartBackoff * 2)
		// Controllers that all start at once go on until they have met.
		if len(n.Live(membership.RoleController)) > 0 && (!controller || round > meetings) {
			break
		}
		select {
		case <-n.Stop:
			return
		default:
		}
	}
	if controller {
		return
	}
	n.exchange()
	// Processes that start at one moment must not all ask at one moment ever after.
	clock.Sleep(clock.Duration(rand.Int63n(int64(constants.ShufflePeriod))))
	go clock.Every(constants.SecondReportPeriod, n.Stop, n.secondReport)
	clock.Every(constants.ShufflePeriod, n.Stop, n.exchange)
}

// exchange is the periodic report to a controller of the zone, or of another zone while
// this one's don't answer or are detached; now and then, and while no controller
// answers, views are exchanged with a neighbour.
func (n *Node) exchange() {
	n.lock.Lock()
	n.rounds++
	round := n.rounds
	controllers := n.view.Controllers(clock.Now())
	n.lock.Unlock()
	first := n.reportToOneOf(controllers, false)
	if first == "" {
		// The seeds may know controllers that started since.
		seeds := n.Settings.SeedAddresses(constants.PortController)
		first = n.reportToOneOf([]messages.NodeInfo{{Address: seeds[rand.Intn(len(seeds))]}}, false)
	}
	n.lock.Lock()
	n.firstController = first
	n.lock.Unlock()
	if first == "" || round%constants.NeighbourRounds == 0 {
		n.lock.Lock()
		partner := n.view.Partner(clock.Now())
		n.lock.Unlock()
		if partner != "" {
			n.shuffleWith(partner)
		}
	}
}

// secondReport is the short report to a second controller, drawn anew each time: neither
// this process's proof of life nor its news depends on one neighbour.
func (n *Node) secondReport() {
	n.lock.Lock()
	controllers := n.view.SecondControllers(n.firstController, clock.Now())
	n.lock.Unlock()
	n.reportToOneOf(controllers, true)
}

// reportToOneOf reports to the first controller of a list that is in contact with a
// majority, and gives its address. It gives up after a few that are silent.
func (n *Node) reportToOneOf(controllers []messages.NodeInfo, brief bool) string {
	const silentMost = 3
	for silent, i := 0, 0; i < len(controllers) && silent < silentMost; i++ {
		switch n.report(controllers[i].Address, brief) {
		case reportTaken:
			return controllers[i].Address
		case reportSilent:
			silent++
		}
	}
	return ""
}

// reportResult is how a report to a controller ended.
type reportResult int

// The results of a report.
const (
	// reportTaken: the controller is in contact with a majority and answered.
	reportTaken reportResult = iota
	// reportDetached: it answered that it is not in contact; others are asked at once.
	reportDetached
	// reportSilent: it did not answer in time.
	reportSilent
)

// report asks one controller and takes its answer.
func (n *Node) report(address string, brief bool) reportResult {
	n.lock.Lock()
	req := n.view.BriefReport()
	if !brief {
		req = n.view.Report()
	}
	n.lock.Unlock()
	resp := &messages.Shuffle{}
	result := reportTaken
	if transport.Call(n.Transport, address, messages.KindShuffle, req, resp, constants.ReportTimeout) != nil {
		result = reportSilent
	} else if resp.Detached {
		result = reportDetached
	}
	if result != reportTaken {
		n.lock.Lock()
		n.view.Failed(address, clock.Now())
		n.lock.Unlock()
		return result
	}
	n.lock.Lock()
	n.recordLocalities(resp.Entries)
	n.view.HandleReportResponse(req, resp, clock.Now())
	n.lock.Unlock()
	n.observeEntries(resp.Entries)
	n.observePlan(resp.PlanRevision, address)
	if n.onControllerReport != nil {
		n.onControllerReport(address, resp)
	}
	return result
}

func (n *Node) shuffleWith(address string) {
	n.lock.Lock()
	req := &messages.Shuffle{Entries: n.view.Offer(clock.Now())}
	n.lock.Unlock()
	resp := &messages.Shuffle{}
	if transport.Call(n.Transport, address, messages.KindShuffle, req, resp, constants.CallTimeout) == nil {
		n.heard(resp.Entries)
	}
}

func (n *Node) shuffled(body []byte) ([]byte, error) {
	req := &messages.Shuffle{}
	if err := transport.Decode(body, req); err != nil {
		return nil, err
	}
	n.heard(req.Entries)
	n.lock.Lock()
	var resp *messages.Shuffle
	if n.Self.Role == membership.RoleController {
		resp = n.view.RespondToReport(req, clock.Now())
	} else {
		resp = &messages.Shuffle{Entries: n.view.Offer(clock.Now())}
	}
	n.lock.Unlock()
	if n.onReportResponse != nil {
		n.onReportResponse(resp)
	}
	return transport.Encode(resp)
}

// Observe takes entries as a shuffle brings them.
func (n *Node) Observe(entries []messages.NodeInfo) { n.heard(entries) }

func (n *Node) heard(entries []messages.NodeInfo) {
	n.lock.Lock()
	n.recordLocalities(entries)
	n.view.Observe(entries, clock.Now())
	n.lock.Unlock()
	n.observeEntries(entries)
}

// observeEntries follows the newest configuration that an entry names, and asks the process
// of that entry for it first: others may not have it.
func (n *Node) observeEntries(entries []messages.NodeInfo) {
	var newest messages.NodeInfo
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	n.ObserveGenerationAt(newest.Generation, newest.Address)
}

// Viewed runs a function on the view, which must not be kept.
func (n *Node) Viewed(function func(view *membership.View)) {
	n.lock.Lock()
	defer n.lock.Unlock()
	function(n.view)
}
