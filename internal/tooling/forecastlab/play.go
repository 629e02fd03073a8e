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

// Play plays a case on a fleet of its own: plan says everything but the families.
func Play(until context.Context, c *forecastcases.Case, plan lab.Plan, seed uint64) (*forecastcases.Result, error) {
	families, loads := c.Lab()
	plan.Families = families
	fleet, err := lab.Start(until, plan, "")
	if err != nil {
		return nil, err
	}
	defer fleet.Stop()
	card := fleet.Card()
	wire := transport.NewTCP("")
	defer wire.Close()
	p := &play{watch: newWatch(&forecast.Collector{Transport: wire, Seed: card.Seed, Timeout: constants.StatusTimeout})}
	for i, load := range loads {
		p.drivers = append(p.drivers, newDriver(load, card.Ingress, seed*100+uint64(i)))
	}
	return p.run(until, c, seed)
}

// play is a case that is being played.
type play struct {
	drivers []*driver
	watch   *watch
}

func (p *play) run(until context.Context, c *forecastcases.Case, seed uint64) (*forecastcases.Result, error) {
	loaded, end := context.WithCancel(until)
	var group sync.WaitGroup
	begin := func(run func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			run(loaded)
		}()
	}
	for _, d := range p.drivers {
		begin(d.run)
	}
	clock.Sleep(clock.Milliseconds(forecastcases.ObservedS * 1000))
	known, err := p.watch.collector.Collect()
	var report *forecast.Report
	if err == nil {
		report, err = c.Forecast(known, seed)
	}
	if err != nil {
		end()
		group.Wait()
		return nil, err
	}
	p.watch.look(known, clock.Now())
	surgeAt := clock.Now()
	begin(p.watch.run)
	p.setSurging(true)
	clock.Sleep(clock.Milliseconds(forecastcases.SurgeS * 1000))
	p.setSurging(false)
	clock.Sleep(clock.Milliseconds(forecastcases.AfterS * 1000))
	end()
	group.Wait()
	return p.result(c, report, surgeAt), nil
}

func (p *play) setSurging(on bool) {
	for _, d := range p.drivers {
		d.setSurging(on)
	}
}

// result compares what was predicted with what came.
func (p *play) result(c *forecastcases.Case, report *forecast.Report, surgeAt clock.Instant) *forecastcases.Result {
	result := forecastcases.NewResult(c, report)
	for _, d := range p.drivers {
		if at, short := p.watch.shortAt[d.load.Family]; short {
			result.Tighten(d.load.Family, at.Sub(surgeAt).Seconds())
		}
		result.AddClass(d.load.Family, d.late, d.all, report)
	}
	return result
}
