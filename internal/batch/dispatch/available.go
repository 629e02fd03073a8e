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

// availableSet is a bit set of the positions of a job's items that are in ItemAvailable, so that
// a search need not visit the other items. Its zero value is an empty set of capacity zero.
type availableSet struct {
	words []uint64
	count int
}

func newAvailableSet(items int) availableSet {
	return availableSet{words: make([]uint64, (items+bitsPerWord-1)/bitsPerWord)}
}

// set adds a position to the set if in is true, and removes it otherwise. A position beyond the
// capacity is ignored.
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

// each visits the positions in ascending order until visit returns false.
func (a *availableSet) each(visit func(i int) bool) {
	for word, remaining := range a.words {
		for ; remaining != 0; remaining &= remaining - 1 {
			if !visit(word*bitsPerWord + bits.TrailingZeros64(remaining)) {
				return
			}
		}
	}
}

// setState changes an item's state and updates its job's set of available items and its count
// of waiting tokens.
func (i *Item) setState(state ItemState) {
	wasUnfinished := i.Unfinished()
	i.State = state
	i.Job.available.set(i.position, state == ItemAvailable)
	switch unfinished := i.Unfinished(); {
	case wasUnfinished && !unfinished:
		i.Job.waitingTokens -= i.Tokens
	case !wasUnfinished && unfinished:
		i.Job.waitingTokens += i.Tokens
	}
}

// eachAvailable visits the available items of a job in order until visit returns false.
func (j *Job) eachAvailable(visit func(item *Item) bool) {
	j.available.each(func(i int) bool { return visit(j.Items[i]) })
}

// dueJob is an open job with its due time.
type dueJob struct {
	job *Job
	due int64
}

// dueOrder is the order in which the items of open jobs are dispatched: jobs that can still meet
// their due time first, then the overdue ones, each list sorted by due time. Sorting all jobs on
// every request would cost more than dispatching the items, so the order is reused for RankPeriod
// and new jobs are inserted in the meantime. Whether a job may be dispatched at all is checked
// on every visit.
type dueOrder struct {
	inTime, overdue []dueJob
	rankedAt        clock.Instant
	ranked          bool
}

// rank returns the current dispatch order, sorting it again if it is older than RankPeriod.
func (d *Dispatcher) rank(terms func(job *Job) JobTerms, now clock.Instant) *dueOrder {
	order := &d.order
	if order.ranked && now.Sub(order.rankedAt) < constants.RankPeriod {
		for _, job := range d.Jobs.drainUnranked() {
			order.insert(job, terms(job))
		}
		return order
	}
	d.Jobs.drainUnranked()
	*order = dueOrder{inTime: order.inTime[:0], overdue: order.overdue[:0], rankedAt: now, ranked: true}
	for _, job := range d.Jobs.openJobs() {
		jobTerms := terms(job)
		if jobTerms.Overdue {
			order.overdue = append(order.overdue, dueJob{job, jobTerms.Due})
		} else {
			order.inTime = append(order.inTime, dueJob{job, jobTerms.Due})
		}
	}
	byDue := func(left, right dueJob) int { return int(min(max(left.due-right.due, -1), 1)) }
	slices.SortStableFunc(order.inTime, byDue)
	slices.SortStableFunc(order.overdue, byDue)
	return order
}

// insert adds a new job after all jobs with the same or an earlier due time.
func (o *dueOrder) insert(job *Job, terms JobTerms) {
	list := &o.inTime
	if terms.Overdue {
		list = &o.overdue
	}
	i := sort.Search(len(*list), func(i int) bool { return (*list)[i].due > terms.Due })
	*list = slices.Insert(*list, i, dueJob{job, terms.Due})
}

// openJobs returns the open jobs in the order of their submission records, and removes all other jobs
// from openCandidates.
func (t *JobTable) openJobs() []*Job {
	retained := t.openCandidates[:0]
	for _, job := range t.openCandidates {
		if job.Open() && t.jobs[job.ID] == job {
			retained = append(retained, job)
		}
	}
	clear(t.openCandidates[len(retained):])
	t.openCandidates = retained
	return retained
}

// drainUnranked returns the jobs that were added since the previous call.
func (t *JobTable) drainUnranked() []*Job {
	added := t.unranked
	t.unranked = nil
	return added
}
