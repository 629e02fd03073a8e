package dispatch

import (
	"fmt"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// prefixed makes a job whose items have a shared prefix.
func (e *endpoint) prefixed(id, prefix string, items int) {
	body := &messages.JobBody{Path: "/p/"}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(id, i), Headers: map[string]string{"Lemonarch-Prompt-Prefix": prefix + ":9,own:1"}})
	}
	packed, _ := body.MarshalMsg(nil)
	e.Append(messages.Record{Kind: messages.RecordJob, Job: id, Body: packed, AtMs: int64(len(e.records))})
	e.settle()
}

func names(given []*Acquisition) string {
	text := ""
	for _, acquisition := range given {
		text += acquisition.Item.ID + " "
	}
	return text
}

// An executor gets the prefix that it has read before first, but nothing is passed over
// for long: the executor that has the other prefix may have no free slot.
func TestPrefixesGoTogether(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.prefixed("a", "one", 6)
	endpoint.prefixed("b", "two", 6)
	if given := names(endpoint.take("x", 1, ms(1))); given != "a0 " {
		t.Fatal(given)
	}
	// The older job is due first, and nobody has its rest's place yet.
	if given := names(endpoint.take("y", 6, ms(2))); given != "a1 a2 a3 a4 a5 b0 " {
		t.Fatal(given)
	}
	endpoint.prefixed("c", "one", 2)
	endpoint.prefixed("d", "two", 2)
	if given := names(endpoint.take("x", 2, ms(3))); given != "c0 c1 " {
		t.Fatal("not the own prefix first: ", given)
	}
	late := ms(3).Add(constants.PrefixWait)
	endpoint.prefixed("e", "one", 2)
	if given := names(endpoint.take("x", 2, late)); given != "b1 b2 " {
		t.Fatal("passed over for too long: ", given)
	}
}

// What can still be in time goes before what is late, by the due time.
func TestDueInTimeComesFirst(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	endpoint.lot("a", "a")
	endpoint.lot("b", "b")
	endpoint.lot("c", "c")
	order := map[string]JobTerms{"a": {Due: 1, Overdue: true}, "b": {Due: 9}, "c": {Due: 5}, "d": {Expired: true}}
	endpoint.lot("d", "d")
	endpoint.RegisterExecutor(Executor{Name: "x"})
	endpoint.settle()
	given := endpoint.Acquire(&AcquireOptions{Executor: Executor{Name: "x"}, Capacity: map[string]int{"s": 9},
		Terms: func(job *Job) JobTerms { return order[job.ID] }, Service: func(*Item) string { return "s" }}, ms(1))
	if names(given) != "c b a " {
		t.Fatal(names(given))
	}
}

// slowAvailable walks every item: what the kept list must agree with.
func slowAvailable(job *Job) string {
	text := ""
	for _, item := range job.Items {
		if item.State == ItemAvailable {
			text += item.ID + " "
		}
	}
	return text
}

func availableCount(job *Job) string {
	text := ""
	job.eachAvailable(func(item *Item) bool {
		text += item.ID + " "
		return true
	})
	return text
}

// benchBacklog is a backlog of whole jobs, all of whose items wait.
func benchBacklog(b *testing.B, items int) (*Dispatcher, *AcquireOptions) {
	b.Helper()

	jobs := NewJobTable()
	for number := 0; number*constants.JobItemsMax < items; number++ {
		addJobOf(b, jobs, fmt.Sprint(number), "/0", constants.JobItemsMax, 900).SubmittedMs = int64(number)
	}
	dispatcher, index := NewDispatcher(jobs, 1, 0, endpointLock, 0), int64(0)
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

// BenchmarkAcquire measures one item acquired and given back, as an executor asks that
// finds a place, with the time going on.
func BenchmarkAcquire(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(items), func(b *testing.B) {
			dispatcher, options := benchBacklog(b, items)
			now := ms(1)
			for b.Loop() {
				now = now.Add(clock.Milliseconds(0.2))
				options.Capacity = map[string]int{"s": 1}
				for _, given := range dispatcher.Acquire(options, now) {
					dispatcher.requeue(given, 0, now)
				}
			}
		})
	}
}

// An executor is handed so many bytes of inputs at a time, one item at least.
func TestInputsAreHandedOutByBytes(t *testing.T) {
	endpoint := newEndpoint(t, 1, nil, 0)
	body := &messages.JobBody{Path: "/p/"}
	for _, length := range []int{2 * constants.AcquireBytes, constants.AcquireBytes / 2, constants.AcquireBytes / 2, 10} {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(len(body.Items)), Body: make([]byte, length)})
	}
	packed, err := body.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	endpoint.Append(messages.Record{Kind: messages.RecordJob, Job: "a", Body: packed, AtMs: 1})
	endpoint.settle()
	for _, want := range []string{"0 ", "1 2 ", "3 "} {
		if given := names(endpoint.take("x", 4, ms(1))); given != want {
			t.Fatalf("%q was handed out, not %q", given, want)
		}
	}
}
