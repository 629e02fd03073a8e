package workbench

import (
	"math"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/plumbline"
	"lemonarch/internal/watch"
)

// How many requests a worker has is forgotten by the worker itself in about the time
// that a request stays there. All nodes hear the same words, so whoever follows an old
// one goes where all others go, and where all stay away no new word comes from.

// full tells whether an ask finds no place at a worker. That a worker was full holds
// for about one stay; then somebody must look. Items take no such chance, and nobody does
// at an engine, whose batch stays full: there pressure makes room.
func (bench *Workbench) full(ask *Ask, worker pattern.Worker, engine bool, running int, now watch.Moment) bool {
	room := bench.room(ask, worker, now)
	if running < room {
		return false
	}
	vitals := bench.Gauge.Of(worker.ID)
	if ask.Bulk || engine || vitals.Own() >= room || !vitals.Known(now) {
		return true
	}
	return vitals.Unread() > 0 || vitals.Age(now) <= max(almanac.FullFor, bench.stay(ask.Service))
}

// stay is the usual time of a request at a service's worker, as seen from here; zero
// while nothing is known.
func (bench *Workbench) stay(service string) watch.Span {
	one := bench.gossip.flows[service]
	if one == nil || one.count == 0 {
		return 0
	}
	return watch.Milliseconds(one.stayMs / one.count)
}

// faded is a load as it may be by now: an old observation says little more than the
// mean of all does.
func (bench *Workbench) faded(service string, worker pattern.Worker, running, neutral int, now watch.Moment) float64 {
	vitals := bench.Gauge.Of(worker.ID)
	stay := bench.stay(service)
	if stay == 0 || !vitals.Known(now) {
		return float64(running)
	}
	weight := math.Exp(-float64(vitals.Age(now)) / float64(stay))
	return max(float64(vitals.Own()), float64(neutral)+weight*float64(running-neutral))
}

// spread is a small random part of the score, in ms, less than the way to another
// hall: among equals not all nodes must choose the first. It repeats with the node.
func (bench *Workbench) spread() float64 {
	if bench.spreading == 0 {
		bench.spreading = drawOf(bench.own, "")
	}
	bench.spreading = plumbline.Mix(bench.spreading + 0x9e3779b97f4a7c15)
	return almanac.SpreadMs * float64(bench.spreading>>11) / (1 << 53)
}
