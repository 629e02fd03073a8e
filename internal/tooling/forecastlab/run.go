package forecastlab

import (
	"context"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/forecast"
	"lemonarch/internal/tooling/forecastcases"
	"lemonarch/internal/tooling/lab"
)

// Run runs a case on a new lab fleet. The families come from the case; plan configures the rest.
func Run(ctx context.Context, c *forecastcases.Case, plan lab.Plan, seed uint64) (*forecastcases.Result, error) {
	families, loads := c.Lab()
	plan.Families = families
	fleet, err := lab.Start(ctx, plan, "")
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	info := fleet.Info()
	tcp := transport.NewTCP("")
	defer tcp.Close()
	p := &caseRun{monitor: newShortageMonitor(&forecast.Collector{Transport: tcp, Seed: info.Seed, Timeout: constants.StatusTimeout})}
	for i, load := range loads {
		p.drivers = append(p.drivers, newDriver(load, info.Ingress, seed*100+uint64(i)))
	}
	return p.run(ctx, c, seed)
}

// caseRun is a case in progress.
type caseRun struct {
	drivers []*driver
	monitor *shortageMonitor
}

func (p *caseRun) run(ctx context.Context, c *forecastcases.Case, seed uint64) (*forecastcases.Result, error) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var group sync.WaitGroup
	startLoop := func(run func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			run(loadCtx)
		}()
	}
	for _, d := range p.drivers {
		startLoop(d.run)
	}
	clock.Sleep(clock.Milliseconds(forecastcases.ObservedS * 1000))
	state, err := p.monitor.collector.Collect()
	var report *forecast.Report
	if err == nil {
		report, err = c.Forecast(state, seed)
	}
	if err != nil {
		stopLoad()
		group.Wait()
		return nil, err
	}
	p.monitor.update(state, clock.Now())
	surgeAt := clock.Now()
	startLoop(p.monitor.run)
	p.setSurge(true)
	clock.Sleep(clock.Milliseconds(forecastcases.SurgeS * 1000))
	p.setSurge(false)
	clock.Sleep(clock.Milliseconds(forecastcases.AfterS * 1000))
	stopLoad()
	group.Wait()
	return p.result(c, report, surgeAt), nil
}

func (p *caseRun) setSurge(on bool) {
	for _, d := range p.drivers {
		d.setSurge(on)
	}
}

// result compares the prediction with the observation.
func (p *caseRun) result(c *forecastcases.Case, report *forecast.Report, surgeAt clock.Instant) *forecastcases.Result {
	result := forecastcases.NewResult(c, report)
	for _, d := range p.drivers {
		if at, short := p.monitor.shortAt[d.load.Family]; short {
			result.RecordShortage(d.load.Family, at.Sub(surgeAt).Seconds())
		}
		result.AddClass(d.load.Family, d.surgeLate, d.surgeTotal, report)
	}
	return result
}
