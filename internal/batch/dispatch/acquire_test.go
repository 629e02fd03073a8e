package dispatch

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// addJobWithPrefix submits a job whose items have a shared prefix.
func (d *testDispatcher) addJobWithPrefix(id, prefix string, items int) {
	body := &messages.JobBody{Path: "/p/"}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(id, i), Headers: map[string]string{"Lemonarch-Prompt-Prefix": prefix + ":9,own:1"}})
	}
	encoded, _ := body.MarshalMsg(nil)
	d.Append(messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded, AtMs: int64(len(d.records))})
	d.applyRecords()
}

// itemIDs returns the ids of the items of acquisitions, each followed by a space.
func itemIDs(acquired []*Acquisition) string {
	text := ""
	for _, acquisition := range acquired {
		text += acquisition.Item.ID + " "
	}
	return text
}

// Among the items that are due, an executor first gets those whose prefix it acquired before. Other
// items are not skipped for longer than PrefixWait: the executor that owns their prefix may have no
// free slot.
func TestAcquirePrefersOwnPrefixes(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJobWithPrefix("a", "one", 6)
	dispatcher.addJobWithPrefix("b", "two", 6)
	if acquired := itemIDs(dispatcher.acquire("x", 1, ms(1))); acquired != "a0 " {
		t.Fatalf("x acquired %q, want %q", acquired, "a0 ")
	}
	// The older job is due first, and items are not reserved for the owner of their prefix.
	if acquired := itemIDs(dispatcher.acquire("y", 6, ms(2))); acquired != "a1 a2 a3 a4 a5 b0 " {
		t.Fatalf("y acquired %q, want %q", acquired, "a1 a2 a3 a4 a5 b0 ")
	}
	dispatcher.addJobWithPrefix("c", "one", 2)
	dispatcher.addJobWithPrefix("d", "two", 2)
	if acquired := itemIDs(dispatcher.acquire("x", 2, ms(3))); acquired != "c0 c1 " {
		t.Fatal("items with the executor's own prefix were not first: ", acquired)
	}
	late := ms(3).Add(constants.PrefixWait)
	dispatcher.addJobWithPrefix("e", "one", 2)
	if acquired := itemIDs(dispatcher.acquire("x", 2, late)); acquired != "b1 b2 " {
		t.Fatal("skipped items were not first after PrefixWait: ", acquired)
	}
}

// Jobs that can still meet their due time are dispatched before overdue ones, sorted by due time;
// expired jobs are not dispatched.
func TestJobsInTimeAreDispatchedBeforeOverdueJobs(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	dispatcher.addJob("a", "a")
	dispatcher.addJob("b", "b")
	dispatcher.addJob("c", "c")
	terms := map[string]JobTerms{"a": {Due: 1, Overdue: true}, "b": {Due: 9}, "c": {Due: 5}, "d": {Expired: true}}
	dispatcher.addJob("d", "d")
	dispatcher.RegisterExecutor(Executor{Name: "x"})
	dispatcher.applyRecords()
	acquired := dispatcher.Acquire(&AcquireOptions{Executor: Executor{Name: "x"}, Capacity: map[string]int{"s": 9},
		Terms: func(job *Job) JobTerms { return terms[job.ID] }, Service: func(*Item) string { return "s" }}, ms(1))
	if itemIDs(acquired) != "c b a " {
		t.Fatalf("x acquired %q, want %q", itemIDs(acquired), "c b a ")
	}
}

// scanAvailable lists the available items of a job by visiting every item. The job's set of available
// items must agree with it.
func scanAvailable(job *Job) string {
	text := ""
	for _, item := range job.Items {
		if item.State == ItemAvailable {
			text += item.ID + " "
		}
	}
	return text
}

// availableIDs lists the available items of a job by its set.
func availableIDs(job *Job) string {
	text := ""
	job.eachAvailable(func(item *Item) bool {
		text += item.ID + " "
		return true
	})
	return text
}

// benchBacklog returns a dispatcher with a backlog of jobs of maximum size, all of whose items are available.
func benchBacklog(b *testing.B, items int) (*Dispatcher, *AcquireOptions) {
	b.Helper()

	jobs := NewJobTable()
	for number := 0; number*constants.JobItemsMax < items; number++ {
		addJobOf(b, jobs, fmt.Sprint(number), "/0", constants.JobItemsMax, 900).SubmittedMs = int64(number)
	}
	dispatcher, index := NewDispatcher(jobs, 1, 0, testLock, 0), int64(0)
	dispatcher.Append = func(record messages.Record) int64 {
		index++
		record.Index, record.Epoch = index, 1
		if record.Kind == messages.RecordExecutor {
			_ = jobs.Apply(&record)
		}
		return index
	}
	options := &AcquireOptions{Executor: Executor{Name: "x"}, Service: func(*Item) string { return "s" },
		Terms: func(job *Job) JobTerms { return JobTerms{Due: job.SubmittedMs} }}
	dispatcher.RegisterExecutor(options.Executor)
	return dispatcher, options
}

// BenchmarkAcquire measures acquiring and requeueing one item, as for an executor with one free slot,
// while the clock advances.
func BenchmarkAcquire(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			dispatcher, options := benchBacklog(b, items)
			now := ms(1)
			for b.Loop() {
				now = now.Add(clock.Milliseconds(0.2))
				options.Capacity = map[string]int{"s": 1}
				for _, acquired := range dispatcher.Acquire(options, now) {
					dispatcher.requeue(acquired, 0, now)
				}
			}
		})
	}
}

// A response to an acquire request has at least one item and stops once its inputs reach AcquireBytes.
func TestAcquireIsBoundedByInputBytes(t *testing.T) {
	dispatcher := newTestDispatcher(t, 1, nil, 0)
	body := &messages.JobBody{Path: "/p/"}
	for _, length := range []int{2 * constants.AcquireBytes, constants.AcquireBytes / 2, constants.AcquireBytes / 2, 10} {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(len(body.Items)), Body: make([]byte, length)})
	}
	encoded, err := body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Append(messages.Record{Kind: messages.RecordJob, Job: "a", Body: encoded, AtMs: 1})
	dispatcher.applyRecords()
	for _, want := range []string{"0 ", "1 2 ", "3 "} {
		if acquired := itemIDs(dispatcher.acquire("x", 4, ms(1))); acquired != want {
			t.Fatalf("got items %q, want %q", acquired, want)
		}
	}
}
