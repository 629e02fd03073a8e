package manifold

import (
	"sort"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

// Took notes that a send was answered; missing is what a wait brought.
func (job *Job) Took(send Send, missing []uint32, now watch.Moment) []Send {
	switch send.Step {
	case StepTell:
		delete(job.open, send.Address)
	case StepRelay:
		one := job.branches[send.Hall]
		if one.settled || one.relay != send.Address {
			return nil
		}
		// It lives and is at it: it is given the time that its hall may take.
		one.asked = now.Plus(almanac.HallTime)
		return []Send{{Step: StepWait, Address: send.Address, Hall: send.Hall}}
	case StepWait:
		one := job.branches[send.Hall]
		if one.settled {
			return nil
		}
		one.settled = true
		left := map[uint32]bool{}
		for _, mark := range missing {
			left[mark] = true
		}
		// Whom the relay could not reach may be in reach from here.
		var again []pattern.Entry
		for _, entry := range one.processes {
			if left[bellows.MarkOf(entry)] {
				again = append(again, entry)
			}
		}
		return job.tell(again)
	}
	return nil
}

// Failed notes that a send was not answered or not taken.
func (job *Job) Failed(send Send, now watch.Moment) []Send {
	if send.Step != StepTell {
		one := job.branches[send.Hall]
		if one.relay != send.Address {
			return nil
		}
		return job.next(one, send.Hall, now)
	}
	if mark, known := job.marks[send.Address]; known && job.open[send.Address] {
		job.missing[mark] = true
	}
	delete(job.open, send.Address)
	if len(send.Pass) == 0 {
		return nil
	}
	// The next of its part takes its place.
	job.open[send.Pass[0]] = true
	return []Send{{Step: StepTell, Address: send.Pass[0], Pass: send.Pass[1:]}}
}

// Tick goes on without foremen that take too long.
func (job *Job) Tick(now watch.Moment) []Send {
	var sends []Send
	for _, hall := range job.halls() {
		one := job.branches[hall]
		if !one.settled && now.Since(one.asked) >= almanac.RelayPatience {
			sends = append(sends, job.next(one, hall, now)...)
		}
	}
	return sends
}

// Done tells whether everybody who was heard lately took the word or failed to.
func (job *Job) Done() bool {
	for _, one := range job.branches {
		if !one.settled {
			return false
		}
	}
	return len(job.open) == 0
}

// Missing gives the marks of those in touch that have not taken the word.
func (job *Job) Missing() []uint32 {
	var marks []uint32
	for mark := range job.missing {
		marks = append(marks, mark)
	}
	for address := range job.open {
		if mark := job.marks[address]; !job.missing[mark] {
			marks = append(marks, mark)
		}
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left] < marks[right] })
	return marks
}
