package hollowfleet

import (
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// reportTries is how many silent controllers one report is tried at.
const reportTries = 3

// secondReport is the short report to a controller other than the first, drawn anew
// each time.
func (m *memberList) secondReport(node *Node, own *seat) {
	var controllers []messages.NodeInfo
	node.step(CoreMembership, func() { controllers = own.view.SecondControllers(own.first, node.now()) })
	m.reportToAny(node, controllers, true, func(string) {})
}

// reportToAny reports to the first controller of a list that is in contact with a
// majority, and gives its address, or nothing where none is.
func (m *memberList) reportToAny(node *Node, controllers []messages.NodeInfo, brief bool, then func(address string)) {
	timedOut := 0
	var attempt func(i int)
	attempt = func(i int) {
		if i >= len(controllers) || timedOut >= reportTries {
			then("")
			return
		}
		address := controllers[i].Address
		m.report(node, address, brief, func(result reportResult) {
			switch result {
			case reportTaken:
				then(address)
				return
			case reportSilent:
				timedOut++
			}
			attempt(i + 1)
		})
	}
	attempt(0)
}

// reportResult is how a report to a controller ended.
type reportResult int

// The results of a report.
const (
	reportTaken reportResult = iota
	// reportDetached: the controller is not in contact with a majority.
	reportDetached
	reportSilent
)

// report asks one controller and takes its answer.
func (m *memberList) report(node *Node, address string, brief bool, then func(reportResult)) {
	view := m.viewOf(node)
	if view == nil {
		return
	}
	var req *messages.Shuffle
	node.step(CoreMembership, func() {
		req = view.BriefReport()
		if !brief {
			req = view.Report()
		}
	})
	resp := &messages.Shuffle{}
	node.ask(CoreMembership, address, messages.KindShuffle, req, resp, constants.ReportTimeout, func(reached bool) {
		result := reportTaken
		switch {
		case !reached:
			result = reportSilent
		case resp.Detached:
			result = reportDetached
		}
		if result != reportTaken {
			view.Failed(address, node.now())
			then(result)
			return
		}
		view.HandleReportResponse(req, resp, node.now())
		m.saw(node, resp.Entries)
		m.fleet.registrations.heardController(node, address, resp)
		then(result)
	})
}
