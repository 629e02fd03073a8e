package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/messages"
)

// slowWaiting walks every item of every job: what Waiting must agree with.
func slowWaiting(jobs *JobTable, belongs func(job *Job) bool) int64 {
	total := int64(0)
	for _, job := range jobs.Jobs() {
		for _, item := range job.Items {
			if !job.Ended && belongs(job) && (item.State == ItemAvailable || item.State == ItemAcquired) {
				total += item.Tokens
			}
		}
	}
	return total
}

// addJobOf puts a job of a few items into a table.
func addJobOf(tb testing.TB, jobs *JobTable, id, path string, items int, tokens int64) *Job {
	tb.Helper()

	body := &messages.JobBody{Path: path}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(id, "-", i), Tokens: tokens + int64(i)})
	}
	packed, _ := body.MarshalMsg(nil)
	if err := jobs.Apply(&messages.Record{Kind: messages.RecordJob, Job: id, Body: packed}); err != nil {
		tb.Fatal(err)
	}
	return jobs.Job(id)
}

// Whatever jobs go through, in any order, the short count is the slow one: on each
// route alone, and on both.
func TestWaitingAgreesWithTheSlowCount(t *testing.T) {
	for seed := int64(1); seed <= 200; seed++ {
		random, table := rand.New(rand.NewSource(seed)), NewJobTable()
		for step := 0; step < 120; step++ {
			var job *Job
			if jobs := table.Jobs(); len(jobs) > 0 {
				job = jobs[random.Intn(len(jobs))]
			}
			switch kind := random.Intn(9); {
			case kind < 2 || job == nil:
				addJobOf(t, table, fmt.Sprint(step), fmt.Sprint("/", random.Intn(2)), 1+random.Intn(4), 10)
			case kind < 4:
				item := job.Items[random.Intn(len(job.Items))]
				item.Finish(item.StartRun())
			case kind < 5:
				item := job.Items[random.Intn(len(job.Items))]
				if run := item.StartRun(); run > 0 && random.Intn(2) == 0 {
					item.Requeue(run)
				}
				job.Items[random.Intn(len(job.Items))].Abandon(0)
			case kind < 7 && !job.Ended && len(job.Listings) < len(job.Items):
				for _, item := range job.Items {
					if !item.Terminal() {
						_ = table.Apply(&messages.Record{Kind: messages.RecordOutput, Job: job.ID, Item: item.ID, Position: len(job.Listings)})
						break
					}
				}
			case kind == 7:
				_ = table.Apply(&messages.Record{Kind: messages.RecordJobEnd, Job: job.ID})
			case kind == 8:
				_ = table.Apply(&messages.Record{Kind: messages.RecordForget, Job: job.ID})
			}
			for _, job := range table.Jobs() {
				if retained, slow := availableCount(job), slowAvailable(job); retained != slow {
					t.Fatalf("seed %d step %d: lot %s keeps %q, has %q", seed, step, job.ID, retained, slow)
				}
			}
			for _, path := range []string{"/0", "/1", ""} {
				belongs := func(job *Job) bool { return path == "" || job.Path == path }
				if got, want := table.Waiting(belongs), slowWaiting(table, belongs); got != want {
					t.Fatalf("seed %d step %d: %d, want %d", seed, step, got, want)
				}
			}
		}
	}
}

// benchmarkTable has many finished jobs and few open ones, as after some minutes.
func benchmarkTable(b *testing.B) *JobTable {
	b.Helper()

	jobs := NewJobTable()
	for number := 0; number < 1200; number++ {
		job := addJobOf(b, jobs, fmt.Sprint(number), "/0", 30, 900)
		if number >= 100 {
			for i, item := range job.Items {
				_ = jobs.Apply(&messages.Record{Kind: messages.RecordOutput, Job: job.ID, Item: item.ID, Position: i})
			}
		}
	}
	return jobs
}

func BenchmarkWaiting(b *testing.B) {
	jobs := benchmarkTable(b)
	for b.Loop() {
		jobs.Waiting(func(*Job) bool { return true })
	}
}

func BenchmarkWaitingSlowCount(b *testing.B) {
	jobs := benchmarkTable(b)
	for b.Loop() {
		slowWaiting(jobs, func(*Job) bool { return true })
	}
}
