package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/messages"
)

// scanWaiting visits every item of every job. WaitingTokens must agree with it.
func scanWaiting(jobs *JobTable, match func(job *Job) bool) int64 {
	total := int64(0)
	for _, job := range jobs.Jobs() {
		for _, item := range job.Items {
			if !job.Ended && match(job) && (item.State == ItemAvailable || item.State == ItemAcquired) {
				total += item.Tokens
			}
		}
	}
	return total
}

// addJobOf adds a job with a number of items to a table. The first item has the given number of tokens,
// each further one has one more.
func addJobOf(tb testing.TB, jobs *JobTable, id, path string, items int, tokens int64) *Job {
	tb.Helper()

	body := &messages.JobBody{Path: path}
	for i := 0; i < items; i++ {
		body.Items = append(body.Items, messages.JobItem{ID: fmt.Sprint(id, "-", i), Tokens: tokens + int64(i)})
	}
	encoded, _ := body.MarshalMsg(nil)
	if err := jobs.Apply(&messages.Record{Kind: messages.RecordJob, Job: id, Body: encoded}); err != nil {
		tb.Fatal(err)
	}
	return jobs.Job(id)
}

// After any order of operations on jobs, WaitingTokens and the set of available items agree with visiting
// every item, for each path alone and for both.
func TestWaitingMatchesFullScan(t *testing.T) {
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
				if got, want := availableIDs(job), scanAvailable(job); got != want {
					t.Fatalf("seed %d step %d: job %s: available set has %q, items are %q", seed, step, job.ID, got, want)
				}
			}
			for _, path := range []string{"/0", "/1", ""} {
				match := func(job *Job) bool { return path == "" || job.Path == path }
				if got, want := table.WaitingTokens(match), scanWaiting(table, match); got != want {
					t.Fatalf("seed %d step %d: got %d waiting tokens, want %d", seed, step, got, want)
				}
			}
		}
	}
}

// benchmarkTable returns a table with many finished jobs and few open ones, as after some minutes of operation.
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
		jobs.WaitingTokens(func(*Job) bool { return true })
	}
}

func BenchmarkWaitingFullScan(b *testing.B) {
	jobs := benchmarkTable(b)
	for b.Loop() {
		scanWaiting(jobs, func(*Job) bool { return true })
	}
}
