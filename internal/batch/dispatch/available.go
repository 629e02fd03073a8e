package dispatch

import (
	"math/bits"
	"slices"
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// bitsPerWord is how many items one word of an availableSet covers.
const bitsPerWord = 64

// availableSet holds the places of a job's items that are in ItemAvailable, so that
// nobody has to walk the others. Its zero value is an empty set of no places.
type availableSet struct {
	words []uint64
	count int
}

func newAvailableSet(items int) availableSet {
	return availableSet{words: make([]uint64, (items+bitsPerWord-1)/bitsPerWord)}
}

// set puts a place in or takes it out.
func (a *availableSet) set(i int, in bool) {
	word, bit := i/bitsPerWord, uint64(1)<<(i%bitsPerWord)
	if word >= len(a.words) || (a.words[word]&bit != 0) == in {
		return
	}
	a.words[word] ^= bit
	if in {
		a.count++
	} else {
		a.count--
	}
}

// each visits the places in order until visit says stop.
func (a *availableSet) each(visit func(i int) bool) {
	for word, left := range a.words {
		for ; left != 0; left &= left - 1 {
			if !visit(word*bitsPerWord + bits.TrailingZeros64(left)) {
				return
			}
		}
	}
}

// setState changes an item's state; its job follows which items are available and how
// many tokens wait.
func (i *Item) setState(state ItemState) {
	waited := i.Unfinished()
	i.State = state
	i.Job.available.set(i.position, state == ItemAvailable)
	switch waits := i.Unfinished(); {
	case waited && !waits:
		i.Job.waitingTokens -= i.Tokens
	case !waited && waits:
		i.Job.waitingTokens += i.Tokens
	}
}

// eachAvailable visits the available items of a job in order until visit says stop.
func (l *Job) eachAvailable(visit func(item *Item) bool) {
	l.available.each(func(i int) bool { return visit(l.Items[i]) })
}

// dueJob is an open job with its due time.
type dueJob struct {
	job *Job
	due int64
}

// dueOrder is the order in which open jobs are handed out: those that can still be in
// time first, each part by due time. Sorting all jobs on every request would cost
// more than the items that it hands out, so the order is kept for RankPeriod; jobs
// that come meanwhile are put in place. Whether a job may be handed out at all is
// asked anew for each job that is visited.
type dueOrder struct {
	inTime, overdue []dueJob
	at              clock.Instant
	ranked          bool
}

// rank brings the order up to date.
func (d *Dispatcher) rank(terms func(job *Job) JobTerms, now clock.Instant) *dueOrder {
	order := &d.order
	if order.ranked && now.Sub(order.at) < constants.RankPeriod {
		for _, job := range d.Jobs.takeUnranked() {
			order.insert(job, terms(job))
		}
		return order
	}
	d.Jobs.takeUnranked()
	*order = dueOrder{inTime: order.inTime[:0], overdue: order.overdue[:0], at: now, ranked: true}
	for _, job := range d.Jobs.openJobs() {
		found := terms(job)
		if found.Overdue {
			order.overdue = append(order.overdue, dueJob{job, found.Due})
		} else {
			order.inTime = append(order.inTime, dueJob{job, found.Due})
		}
	}
	byDue := func(left, right dueJob) int { return int(min(max(left.due-right.due, -1), 1)) }
	slices.SortStableFunc(order.inTime, byDue)
	slices.SortStableFunc(order.overdue, byDue)
	return order
}

// insert puts a new job behind those that are due no later.
func (r *dueOrder) insert(job *Job, terms JobTerms) {
	part := &r.inTime
	if terms.Overdue {
		part = &r.overdue
	}
	i := sort.Search(len(*part), func(i int) bool { return (*part)[i].due > terms.Due })
	*part = slices.Insert(*part, i, dueJob{job, terms.Due})
}

// openJobs gives the jobs with items to run, the order in which they came kept, and
// forgets the others.
func (b *JobTable) openJobs() []*Job {
	retained := b.opened[:0]
	for _, job := range b.opened {
		if job.Open() && b.jobs[job.ID] == job {
			retained = append(retained, job)
		}
	}
	clear(b.opened[len(retained):])
	b.opened = retained
	return retained
}

// takeUnranked gives the jobs that came since it was asked last.
func (b *JobTable) takeUnranked() []*Job {
	fresh := b.unranked
	b.unranked = nil
	return fresh
}
