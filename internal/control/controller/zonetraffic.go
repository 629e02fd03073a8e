package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/trafficstats"
)

// handleZoneTraffic requests the traffic summaries of the gateways and stores of a zone and responds
// with the merged summaries. Known processes that returned none are listed as missing.
func (c *Controller) handleZoneTraffic(req *messages.ZoneTrafficRequest) (*messages.ZoneTrafficResponse, error) {
	var processes []messages.NodeInfo
	for _, role := range []string{membership.RoleGateway, membership.RoleStore} {
		for _, info := range c.Node.All(role) {
			if info.Zone == req.Zone && !info.Draining && info.AgeMs < constants.ForgetAfter.Milliseconds() {
				processes = append(processes, info)
			}
		}
	}
	resp := &messages.ZoneTrafficResponse{Workers: c.workers.Groups()}
	merged := trafficstats.Merged{}
	for i, summary := range c.collectTraffic(processes) {
		if summary == nil {
			resp.Missing = append(resp.Missing, membership.Key(processes[i]))
			continue
		}
		resp.Answered++
		resp.ObservedMs = max(resp.ObservedMs, summary.ObservedMs)
		for j := range summary.Summaries {
			merged.Add(&summary.Summaries[j])
		}
	}
	resp.Summaries = merged.Summaries()
	return resp, nil
}

// collectTraffic requests the summaries of processes, at most constants.TrafficCollectors at a time.
// The response of a process that did not respond is nil.
func (c *Controller) collectTraffic(processes []messages.NodeInfo) []*messages.TrafficSummaryResponse {
	responses := make([]*messages.TrafficSummaryResponse, len(processes))
	slots := make(chan struct{}, constants.TrafficCollectors)
	var group sync.WaitGroup
	for i, info := range processes {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			resp := &messages.TrafficSummaryResponse{}
			if transport.Call(c.Node.Transport, info.Address, messages.KindTrafficSummary, &messages.TrafficSummaryRequest{}, resp, constants.CallTimeout) == nil {
				responses[i] = resp
			}
		}()
	}
	group.Wait()
	return responses
}
