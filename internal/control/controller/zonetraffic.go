package controller

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/traffic/trafficstats"
)

// handleZoneTraffic asks the gateways and stores of a zone for their traffic summaries and
// answers with the merged ones. Who is known and gives none is named.
func (c *Controller) handleZoneTraffic(req *messages.ZoneTrafficRequest) (*messages.ZoneTrafficResponse, error) {
	var processes []messages.NodeInfo
	for _, role := range []string{membership.RoleGateway, membership.RoleStore} {
		for _, entry := range c.Node.All(role) {
			if entry.Zone == req.Zone && !entry.Draining && entry.AgeMs < constants.ForgetAfter.Milliseconds() {
				processes = append(processes, entry)
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

// collectTraffic asks processes, a bounded number at a time; nil stands for one that is silent.
func (c *Controller) collectTraffic(processes []messages.NodeInfo) []*messages.TrafficSummaryResponse {
	responses := make([]*messages.TrafficSummaryResponse, len(processes))
	slots := make(chan struct{}, constants.TrafficCollectors)
	var group sync.WaitGroup
	for i, entry := range processes {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-slots }()
			resp := &messages.TrafficSummaryResponse{}
			if transport.Call(c.Node.Transport, entry.Address, messages.KindTrafficSummary, &messages.TrafficSummaryRequest{}, resp, constants.CallTimeout) == nil {
				responses[i] = resp
			}
		}()
	}
	group.Wait()
	return responses
}
