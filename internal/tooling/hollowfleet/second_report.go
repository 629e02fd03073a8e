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
	silent := 0
	var try func(place int)
	try = func(place int) {
		if place >= len(controllers) || silent >= reportTries {
			then("")
			return
		}
		address := controllers[place].Address
		m.report(node, address, brief, func(result reportResult) {
			switch result {
			case reportTaken:
				then(address)
				return
			case reportSilent:
				silent++
			}
			try(place + 1)
		})
	}
	try(0)
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
	var question *messages.Shuffle
	node.step(CoreMembership, func() {
		question = view.BriefReport()
		if !brief {
			question = view.Report()
		}
	})
	answer := &messages.Shuffle{}
	node.ask(CoreMembership, address, messages.KindShuffle, question, answer, constants.ReportTimeout, func(reached bool) {
		result := reportTaken
		switch {
		case !reached:
			result = reportSilent
		case answer.Detached:
			result = reportDetached
		}
		if result != reportTaken {
			view.Failed(address, node.now())
			then(result)
			return
		}
		view.HandleReportResponse(question, answer, node.now())
		m.saw(node, answer.Entries)
		m.fleet.registrations.heardController(node, address, answer)
		then(result)
	})
}
