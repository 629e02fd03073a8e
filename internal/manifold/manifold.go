// Package manifold spreads a word over the fleet down a tree: whoever has it tells the
// processes of its own hall and one foreman of each other hall, which tells its hall.
// A step function without I/O: calls in, sends out.
package manifold

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Step says what a send asks of its receiver.
type Step int

// The steps.
const (
	// StepTell: take the word, and pass it on to the addresses in Pass.
	StepTell Step = iota
	// StepRelay: take the word and tell your hall; answered at once.
	StepRelay
	// StepWait: say whom of your hall you could not reach, once you know.
	StepWait
)

// Send is one call to be made.
type Send struct {
	Step    Step
	Address string
	Hall    string
	// Pass holds the addresses to which the receiver passes the word on.
	Pass []string
	// Expect are the marks of those whom the sender knows in the hall.
	Expect []uint32
}

// branch is the part of a job that one hall makes.
type branch struct {
	foremen   []pattern.Entry
	processes []pattern.Entry
	relay     string
	asked     watch.Moment
	// settled: nothing more is expected of the hall's foremen.
	settled bool
}

// Job is one word on its way.
type Job struct {
	own      pattern.Entry
	fan      int
	branches map[string]*branch
	// open are the tells that are waited for, by address.
	open    map[string]bool
	missing map[uint32]bool
	marks   map[string]uint32
}

// Fleet begins a job for all processes of a directory but the owner. fan is how many of
// a hall are told directly, each passing the word on to its part of the rest; 0 tells
// each directly.
func Fleet(own pattern.Entry, directory []pattern.Entry, fan int, now watch.Moment) (*Job, []Send) {
	job := &Job{own: own, fan: fan, branches: map[string]*branch{}, open: map[string]bool{}, missing: map[uint32]bool{}, marks: map[string]uint32{}}
	for _, entry := range directory {
		if bellows.Key(entry) == bellows.Key(own) {
			continue
		}
		one := job.branches[entry.Hall]
		if one == nil {
			one = &branch{}
			job.branches[entry.Hall] = one
		}
		job.marks[entry.Address] = bellows.MarkOf(entry)
		one.processes = append(one.processes, entry)
		if entry.Role == bellows.RoleForeman && fresh(entry) && !entry.Leaving {
			one.foremen = append(one.foremen, entry)
		}
	}
	var sends []Send
	for _, hall := range job.halls() {
		one := job.branches[hall]
		// The freshest is asked first: it most likely lives.
		sort.SliceStable(one.foremen, func(left, right int) bool { return one.foremen[left].AgeMs < one.foremen[right].AgeMs })
		if hall == own.Hall {
			one.settled = true
			sends = append(sends, job.tell(one.processes)...)
		} else {
			sends = append(sends, job.next(one, hall, now)...)
		}
	}
	return job, sends
}

// Hall begins a job for the owner's hall alone, on behalf of another. Those of the
// expected that the owner does not know are missing from the start.
func Hall(own pattern.Entry, directory []pattern.Entry, expect []uint32, fan int, now watch.Moment) (*Job, []Send) {
	var near []pattern.Entry
	known := map[uint32]bool{bellows.MarkOf(own): true}
	for _, entry := range directory {
		if entry.Hall == own.Hall {
			near = append(near, entry)
			known[bellows.MarkOf(entry)] = true
		}
	}
	job, sends := Fleet(own, near, fan, now)
	for _, mark := range expect {
		if !known[mark] {
			job.missing[mark] = true
		}
	}
	return job, sends
}

// fresh tells whether a process was heard lately: only then is it waited for.
func fresh(entry pattern.Entry) bool { return entry.AgeMs < almanac.SilentAfter.Milliseconds() }

func (job *Job) halls() []string {
	var halls []string
	for hall := range job.branches {
		halls = append(halls, hall)
	}
	sort.Strings(halls)
	return halls
}

// tell makes the sends that tell processes directly, or through a few of them.
func (job *Job) tell(processes []pattern.Entry) []Send {
	var heads, silent []pattern.Entry
	for _, entry := range processes {
		if fresh(entry) {
			heads = append(heads, entry)
			job.open[entry.Address] = true
		} else {
			silent = append(silent, entry)
		}
	}
	var sends []Send
	if job.fan == 0 {
		for _, entry := range heads {
			sends = append(sends, Send{Step: StepTell, Address: entry.Address})
		}
	} else {
		var addresses []string
		for _, entry := range heads {
			addresses = append(addresses, entry.Address)
		}
		sends = Split(addresses, job.fan)
		for _, send := range sends {
			for _, address := range send.Pass {
				delete(job.open, address)
			}
		}
	}
	// The silent ones are told as well, each for itself: nobody waits for them.
	for _, entry := range silent {
		sends = append(sends, Send{Step: StepTell, Address: entry.Address})
	}
	return sends
}

// Split shares addresses out among the first few of them.
func Split(addresses []string, fan int) []Send {
	count := min(fan, len(addresses))
	sends := make([]Send, count)
	for place, address := range addresses {
		if place < count {
			sends[place] = Send{Step: StepTell, Address: address}
		} else {
			sends[place%count].Pass = append(sends[place%count].Pass, address)
		}
	}
	return sends
}

// next asks a hall's next foreman, or tells its processes where none is left.
func (job *Job) next(one *branch, hall string, now watch.Moment) []Send {
	if one.settled {
		return nil
	}
	if len(one.foremen) == 0 {
		one.settled, one.relay = true, ""
		return job.tell(one.processes)
	}
	var expect []uint32
	for _, entry := range one.processes {
		if fresh(entry) {
			expect = append(expect, bellows.MarkOf(entry))
		}
	}
	one.relay, one.asked, one.foremen = one.foremen[0].Address, now, one.foremen[1:]
	return []Send{{Step: StepRelay, Address: one.relay, Hall: hall, Expect: expect}}
}
