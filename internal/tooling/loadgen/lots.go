package loadgen

import (
	"fmt"
	"math/rand"
	"strconv"
	"sync"

	"lemonarch/internal/batch/jobclient"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// sendLots sends lots at their rate and follows each.
func (r *run) sendJobs(until contexts.Context, started clock.Instant) {
	random := rand.New(rand.NewSource(r.options.Seed + constants.LoadJobSeed))
	var group sync.WaitGroup
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / r.options.LotRate * 1000
		due := clock.Milliseconds(at)
		if number == 0 {
			// However short the load, there is one lot.
			due = min(due, r.options.For/4)
		}
		if due >= r.options.For || !waitUntil(until, started.Add(due)) {
			break
		}
		job, check := r.newJob(number, random)
		node := random.Intn(len(r.card.Ingress))
		group.Add(1)
		go func() {
			defer group.Done()
			r.runJob(check, job, node)
		}()
	}
	group.Wait()
}

func (r *run) newJob(number int, random *rand.Rand) (jobclient.Job, *jobCheck) {
	check := newJobCheck(r.prefix + "lot" + strconv.Itoa(number))
	job, route := jobclient.Job{}, r.routes["batch"]
	for i := 0; i < r.options.Items; i++ {
		prompt := profiles["batch"].prompt(random)
		item := jobclient.Item{ID: check.id + "-" + strconv.Itoa(i), Path: fmt.Sprintf("%s%d/%d", route.Prefix, number, i),
			Tokens: prompt.inputTokens + prompt.outputTokens, Body: []byte("item " + strconv.Itoa(i)), Headers: map[string]string{"Lemonarch-Model": lab.ModelName,
				"Lemonarch-Token-Count": fmt.Sprintf("%d,%d", prompt.inputTokens, prompt.outputTokens), "Lemonarch-Prompt-Prefix": prompt.prefix}}
		check.eventCounts[item.ID] = workeremulator.Events(prompt.outputTokens, r.card.Stride)
		job.Requests = append(job.Requests, item)
		r.recordAttempt(item.ID, item.Path, item.Body, route, false, true)
	}
	return job, check
}

// lot hands one lot in, follows it to its end, and reads it once more from the start.
func (r *run) runJob(check *jobCheck, job jobclient.Job, node int) {
	route := r.routes["batch"]
	edges := append(append([]string(nil), r.card.Ingress[node:]...), r.card.Ingress[:node]...)
	client := &jobclient.Client{Edges: edges, Host: route.Host}
	limited, release := contexts.WithTimeout(contexts.Background(), constants.LoadDrain)
	defer release()
	started := clock.Now()
	handing, halt := contexts.WithTimeout(limited, 2*constants.JobCallTimeout)
	_, err := client.Submit(handing, check.id, route.Prefix+"lot", job)
	halt()
	if err != nil {
		refused := errs.Is(err, jobclient.ErrRejected)
		r.recordItemsNotExecuted(check, refused)
		cause := "lot unclear"
		if refused {
			cause = "lot refused"
		}
		r.result.countFailedItems(len(job.Requests), cause)
		return
	}
	r.result.countSubmission(clock.Now().Sub(started))
	result, reads, answered := clock.Milliseconds(route.ResultMs), 0, false
	for len(check.outputs) < len(job.Requests) && limited.Err() == nil {
		reads++
		cursor := len(check.outputs)
		if reads%4 == 0 {
			// From time to time from an earlier position: it must say the same again.
			cursor /= 2
		}
		before := len(check.outputs)
		page, err := client.Read(limited, check.id, cursor, 0)
		r.checkRead(check, cursor, page, err)
		answered = answered || err == nil
		if err == nil {
			took := clock.Now().Sub(started)
			for _, output := range check.outputs[before:] {
				r.result.countItem(output.Phase == jobclient.PhaseSettled, took, took <= result)
			}
		}
		clock.Sleep(constants.LoadPollBackoff)
	}
	if !answered {
		r.result.addFinding(Finding{"LOST", check.id, "it was accepted, and no read of it was answered to the end"})
	}
	if missing := len(job.Requests) - len(check.outputs); missing > 0 {
		r.result.countFailedItems(missing, "item not listed")
	}
	r.rereadJob(client, check)
}

// readAgain reads a lot from the start: what was read must come again.
func (r *run) rereadJob(client *jobclient.Client, check *jobCheck) {
	limited, release := contexts.WithTimeout(contexts.Background(), 2*constants.JobCallTimeout)
	defer release()
	for cursor, observed := 0, len(check.outputs); cursor < observed; {
		page, err := client.Read(limited, check.id, cursor, 0)
		r.checkRead(check, cursor, page, err)
		switch {
		case err == nil && len(page.Outputs) == 0:
			r.result.addFinding(Finding{"LOST", check.id, fmt.Sprintf("position %d was read before, and is gone", cursor)})
			return
		case err == nil:
			cursor = page.Next
		case !jobclient.Again(err):
			return
		case limited.Err() != nil:
			r.result.addNote("lot " + check.id + " could not be read again: " + err.Error())
			return
		default:
			clock.Sleep(constants.LabRetry)
		}
	}
}

// judgeRead takes one read of a lot that was accepted.
func (r *run) checkRead(check *jobCheck, cursor int, page *jobclient.Page, err error) {
	switch {
	case err == nil:
		for _, finding := range check.addPage(cursor, page) {
			r.result.addFinding(finding)
		}
	case errs.Is(err, jobclient.ErrCorruptResponse):
		r.result.addFinding(Finding{"MIXED", check.id, err.Error()})
	case !jobclient.Again(err):
		r.result.addFinding(Finding{"LOST", check.id, err.Error()})
	}
}

// promiseItems notes that none of a lot's items may run.
func (r *run) recordItemsNotExecuted(check *jobCheck, refused bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for item := range check.eventCounts {
		r.attempts[item].notExecuted = refused
	}
}
