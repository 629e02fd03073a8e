package dispatch

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrMalformed is the error of a record that can't be decoded or applied.
var ErrMalformed = errs.Define("malformed job record")

// Listing is the result at one position of a job: the item, whether it was abandoned, and the index of
// the record.
type Listing struct {
	Item      string
	Abandoned bool
	Index     int64
}

// Job is one batch job.
type Job struct {
	ID   string
	Host string
	Path string
	// SubmittedMs is when the job was submitted, in milliseconds of wall-clock time.
	SubmittedMs int64
	// Index is the index of the job's record.
	Index int64
	Items []*Item
	// Listings are the durable results, in the order of their positions.
	Listings []Listing
	// Ended reports whether the job was ended by its client; its items are not run any more.
	Ended bool
	// total is the number of items, openItems that of the items without a durable result.
	total     int
	openItems int
	// KnownSince is when this leader learned of the job, by its monotonic clock.
	KnownSince clock.Instant
	// pendingListings counts positions that were assigned and are not durable yet.
	pendingListings int
	// available are the items that may be acquired; waitingTokens is the number of tokens of the
	// items that no worker has finished.
	available     availableSet
	waitingTokens int64
	// itemByID maps ids to items: a job may have hundreds of thousands of items, and each
	// output is looked up by id.
	itemByID map[string]*Item
}

// OlderThan reports whether a job is older than a duration both by the wall clock and by the
// time for which this leader has known it. A step of the wall clock, here or where the job was
// submitted, must not expire a job early. In return, jobs expire later after a takeover.
func (j *Job) OlderThan(timeout clock.Duration, wallMs int64, now clock.Instant) bool {
	return wallMs-j.SubmittedMs > timeout.Milliseconds() && now.Sub(j.KnownSince) > timeout
}

// PendingListings returns the number of positions that are assigned and not durable yet.
func (j *Job) PendingListings() int { return j.pendingListings }

// Total returns the number of items.
func (j *Job) Total() int { return j.total }

// Open reports whether further results are possible.
func (j *Job) Open() bool { return !j.Ended && j.openItems > 0 }

// JobTable is the state derived from the durable records.
type JobTable struct {
	jobs  map[string]*Job
	order []*Job
	// openCandidates contains every open job, and possibly jobs that are no longer open.
	openCandidates []*Job
	// unranked are the jobs added since the dispatcher last updated its order.
	unranked []*Job
	// inputBytes is the memory that the inputs of items that may still be run occupy, in bytes.
	inputBytes int64
	// executors maps the executors that may own acquisitions to the epoch of their latest registration.
	executors map[executorID]uint64
}

// NewJobTable returns an empty table.
func NewJobTable() *JobTable {
	return &JobTable{jobs: map[string]*Job{}, executors: map[executorID]uint64{}}
}

// Job returns the job with an id, or nil if there is none.
func (t *JobTable) Job(id string) *Job { return t.jobs[id] }

// InputBytes returns the memory that the inputs of items that may still be run occupy, in bytes.
func (t *JobTable) InputBytes() int64 { return t.inputBytes }

// Jobs returns all jobs, the oldest first.
func (t *JobTable) Jobs() []*Job { return t.order }

// Apply applies a durable record to the table. Records are applied in the order of their indexes.
func (t *JobTable) Apply(record *messages.Record) error {
	switch record.Kind {
	case messages.RecordJob:
		return t.addJob(record)
	case messages.RecordOutput:
		job := t.jobs[record.Job]
		if job == nil || record.Position != len(job.Listings) {
			return ErrMalformed.New("unexpected position of an output in job " + record.Job)
		}
		job.Listings = append(job.Listings, Listing{Item: record.Item, Abandoned: record.Abandoned, Index: record.Index})
		job.pendingListings = max(job.pendingListings-1, 0)
		if item := job.Item(record.Item); item != nil && !item.Terminal() {
			state := ItemCompleted
			if record.Abandoned {
				state = ItemAbandoned
			}
			item.setState(state)
			item.closedByAcquisition = record.Acquisition
			t.dropInput(item)
			job.openItems--
		}
	case messages.RecordExecutor:
		t.addExecutor(record)
	case messages.RecordAcquisitionsKnown:
		t.dropExecutorsBefore(record.Epoch)
	case messages.RecordItemError:
		if job := t.jobs[record.Job]; job != nil {
			if item := job.Item(record.Item); item != nil {
				item.countFailure(record.Acquisition)
			}
		}
	case messages.RecordJobEnd:
		if job := t.jobs[record.Job]; job != nil {
			job.Ended = true
			t.dropInputs(job)
		}
	case messages.RecordForget:
		if job := t.jobs[record.Job]; job != nil {
			t.dropInputs(job)
		}
		delete(t.jobs, record.Job)
		retained := t.order[:0]
		for _, job := range t.order {
			if job.ID != record.Job {
				retained = append(retained, job)
			}
		}
		t.order = retained
	}
	return nil
}

// dropInput releases the memory of an item's input. If the input is requested afterwards, it is read
// from the job's record on disk.
func (t *JobTable) dropInput(item *Item) {
	t.inputBytes -= item.InputBytes()
	item.Body, item.Events, item.Headers = nil, nil, nil
}

// dropInputs releases the memory of the inputs of all items of a job.
func (t *JobTable) dropInputs(job *Job) {
	for _, item := range job.Items {
		t.dropInput(item)
	}
}

// addJob applies a RecordJob record. A job that is in the table already is ignored.
func (t *JobTable) addJob(record *messages.Record) error {
	if t.jobs[record.Job] != nil {
		return nil
	}
	body := &messages.JobBody{}
	if _, err := body.UnmarshalMsg(record.Body); err != nil {
		return ErrMalformed.Wrap(err, "decode job "+record.Job)
	}
	job := &Job{ID: record.Job, Host: record.Host, Path: body.Path, SubmittedMs: record.AtMs, Index: record.Index, total: len(body.Items), openItems: len(body.Items),
		Items: make([]*Item, 0, len(body.Items)), available: newAvailableSet(len(body.Items)), itemByID: make(map[string]*Item, len(body.Items))}
	for i := range body.Items {
		item := &Item{JobItem: body.Items[i], Job: job, position: i}
		job.Items = append(job.Items, item)
		job.itemByID[item.ID] = item
		job.available.set(i, true)
		job.waitingTokens += item.Tokens
		t.inputBytes += item.InputBytes()
	}
	t.jobs[job.ID] = job
	t.order = append(t.order, job)
	t.openCandidates = append(t.openCandidates, job)
	t.unranked = append(t.unranked, job)
	sort.SliceStable(t.order, func(left, right int) bool { return t.order[left].SubmittedMs < t.order[right].SubmittedMs })
	return nil
}

// WaitingTokens returns the number of tokens of unfinished items of the jobs for which match returns true.
// Only open jobs are visited: finished ones are kept for minutes, and submissions come in bursts.
func (t *JobTable) WaitingTokens(match func(job *Job) bool) int64 {
	total := int64(0)
	for _, job := range t.openJobs() {
		if match(job) {
			total += job.waitingTokens
		}
	}
	return total
}

// Item returns the item with an id, or nil if there is none.
func (j *Job) Item(id string) *Item { return j.itemByID[id] }
