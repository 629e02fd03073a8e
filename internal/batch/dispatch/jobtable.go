package dispatch

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// ErrMalformed is the error of a record that can't be understood.
var ErrMalformed = errs.Define("lot record")

// Listing is one position.
type Listing struct {
	Item      string
	Abandoned bool
	Index     int64
}

// Job is one job.
type Job struct {
	ID          string
	Host        string
	Path        string
	SubmittedMs int64
	Index       int64
	Items       []*Item
	Listings    []Listing
	Ended       bool
	total       int
	open        int
	// KnownSince is when this leader came to know the job, by its steady clock.
	KnownSince clock.Instant
	// pendingListings counts positions that were given and are not yet durable.
	pendingListings int
	// available are the items that may be acquired, waiting the tokens of those that
	// no worker has finished.
	available     availableSet
	waitingTokens int64
	// itemByID leads from ids to items: a job may hold hundreds of thousands, and each
	// output looks for its own.
	itemByID map[string]*Item
}

// OlderThan tells whether a job is older than a duration: by the time of day, and known here
// for as long. A time of day that was stepped, here or where the job was taken, must
// end nothing early; after a takeover things end later instead.
func (l *Job) OlderThan(timeout clock.Duration, wallMs int64, now clock.Instant) bool {
	return wallMs-l.SubmittedMs > timeout.Milliseconds() && now.Sub(l.KnownSince) > timeout
}

// PendingListings counts the positions that are on their way to the stores.
func (l *Job) PendingListings() int { return l.pendingListings }

// Total is the number of items.
func (l *Job) Total() int { return l.total }

// Open tells whether results may still come.
func (l *Job) Open() bool { return !l.Ended && l.open > 0 }

// JobTable is what the durable records say.
type JobTable struct {
	jobs  map[string]*Job
	order []*Job
	// opened holds every job that still has items to run, and some that no more do.
	opened []*Job
	// unranked are the jobs that came since the dispatcher ranked them last.
	unranked []*Job
	// inputBytes is what the inputs of items that are not listed yet take in memory.
	inputBytes int64
	// executors are the executors that may hold acquisitions, with their epoch.
	executors map[executorID]uint64
}

// NewJobTable makes an empty table.
func NewJobTable() *JobTable {
	return &JobTable{jobs: map[string]*Job{}, executors: map[executorID]uint64{}}
}

// Job finds a job, or nil.
func (b *JobTable) Job(id string) *Job { return b.jobs[id] }

// InputBytes is how many bytes of memory the inputs of items that may still be run take.
func (b *JobTable) InputBytes() int64 { return b.inputBytes }

// Jobs gives all jobs, the oldest first.
func (b *JobTable) Jobs() []*Job { return b.order }

// Apply takes a durable record.
func (b *JobTable) Apply(record *messages.Record) error {
	switch record.Kind {
	case messages.RecordJob:
		return b.addJob(record)
	case messages.RecordOutput:
		job := b.jobs[record.Job]
		if job == nil || record.Position != len(job.Listings) {
			return ErrMalformed.New("output out of place in lot " + record.Job)
		}
		job.Listings = append(job.Listings, Listing{Item: record.Item, Abandoned: record.Abandoned, Index: record.Index})
		job.pendingListings = max(job.pendingListings-1, 0)
		if item := job.Item(record.Item); item != nil && !item.Terminal() {
			state := ItemCompleted
			if record.Abandoned {
				state = ItemAbandoned
			}
			item.setState(state)
			item.closedBy = record.Acquisition
			b.dropInput(item)
			job.open--
		}
	case messages.RecordExecutor:
		b.addExecutor(record)
	case messages.RecordAcquisitionsKnown:
		b.dropExecutorsBefore(record.Epoch)
	case messages.RecordItemError:
		if job := b.jobs[record.Job]; job != nil {
			if item := job.Item(record.Item); item != nil {
				item.countFailure(record.Acquisition)
			}
		}
	case messages.RecordJobEnd:
		if job := b.jobs[record.Job]; job != nil {
			job.Ended = true
			b.dropInputs(job)
		}
	case messages.RecordForget:
		if job := b.jobs[record.Job]; job != nil {
			b.dropInputs(job)
		}
		delete(b.jobs, record.Job)
		retained := b.order[:0]
		for _, job := range b.order {
			if job.ID != record.Job {
				retained = append(retained, job)
			}
		}
		b.order = retained
	}
	return nil
}

// dropInput gives back what an item holds to be run: what is listed is read from disk.
func (b *JobTable) dropInput(item *Item) {
	b.inputBytes -= item.InputBytes()
	item.Body, item.Events, item.Headers = nil, nil, nil
}

func (b *JobTable) dropInputs(job *Job) {
	for _, item := range job.Items {
		b.dropInput(item)
	}
}

func (b *JobTable) addJob(record *messages.Record) error {
	if b.jobs[record.Job] != nil {
		return nil
	}
	body := &messages.JobBody{}
	if _, err := body.UnmarshalMsg(record.Body); err != nil {
		return ErrMalformed.Wrap(err, "lot "+record.Job)
	}
	job := &Job{ID: record.Job, Host: record.Host, Path: body.Path, SubmittedMs: record.AtMs, Index: record.Index, total: len(body.Items), open: len(body.Items),
		Items: make([]*Item, 0, len(body.Items)), available: newAvailableSet(len(body.Items)), itemByID: make(map[string]*Item, len(body.Items))}
	for i := range body.Items {
		item := &Item{JobItem: body.Items[i], Job: job, position: i}
		job.Items = append(job.Items, item)
		job.itemByID[item.ID] = item
		job.available.set(i, true)
		job.waitingTokens += item.Tokens
		b.inputBytes += item.InputBytes()
	}
	b.jobs[job.ID] = job
	b.order = append(b.order, job)
	b.opened = append(b.opened, job)
	b.unranked = append(b.unranked, job)
	sort.SliceStable(b.order, func(left, right int) bool { return b.order[left].SubmittedMs < b.order[right].SubmittedMs })
	return nil
}

// Waiting adds up the tokens of items that no worker has finished. Only open jobs
// are walked: finished ones are kept for minutes, and submissions come in bursts.
func (b *JobTable) Waiting(belongs func(job *Job) bool) int64 {
	total := int64(0)
	for _, job := range b.openJobs() {
		if belongs(job) {
			total += job.waitingTokens
		}
	}
	return total
}

// Item gives an item of a job, or nil.
func (l *Job) Item(id string) *Item { return l.itemByID[id] }
