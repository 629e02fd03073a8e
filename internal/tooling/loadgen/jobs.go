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

// sendJobs submits batch jobs at their rate, reads each to its end, and waits for all of them.
func (r *run) sendJobs(ctx contexts.Context, started clock.Instant) {
	random := rand.New(rand.NewSource(r.options.Seed + constants.LoadJobSeed))
	var group sync.WaitGroup
	at := 0.0
	for number := 0; ; number++ {
		at += random.ExpFloat64() / r.options.JobRate * 1000
		due := clock.Milliseconds(at)
		if number == 0 {
			// There is at least one job, even in a short load.
			due = min(due, r.options.For/4)
		}
		if due >= r.options.For || !waitUntil(ctx, started.Add(due)) {
			break
		}
		job, check := r.newJob(number, random)
		node := random.Intn(len(r.info.Ingress))
		group.Add(1)
		go func() {
			defer group.Done()
			r.runJob(check, job, node)
		}()
	}
	group.Wait()
}

// newJob draws a batch job, records its items as attempts, and returns it with its check.
func (r *run) newJob(number int, random *rand.Rand) (jobclient.Job, *jobCheck) {
	check := newJobCheck(r.prefix + "lot" + strconv.Itoa(number))
	job, route := jobclient.Job{}, r.routes["batch"]
	for i := 0; i < r.options.Items; i++ {
		prompt := profiles["batch"].prompt(random)
		item := jobclient.Item{ID: check.id + "-" + strconv.Itoa(i), Path: fmt.Sprintf("%s%d/%d", route.Prefix, number, i),
			Tokens: prompt.inputTokens + prompt.outputTokens, Body: []byte("item " + strconv.Itoa(i)), Headers: map[string]string{"Lemonarch-Model": lab.ModelName,
				"Lemonarch-Token-Count": fmt.Sprintf("%d,%d", prompt.inputTokens, prompt.outputTokens), "Lemonarch-Prompt-Prefix": prompt.prefixParts}}
		check.eventCounts[item.ID] = workeremulator.Events(prompt.outputTokens, r.info.Stride)
		job.Requests = append(job.Requests, item)
		r.recordAttempt(item.ID, item.Path, item.Body, route, false, true)
	}
	return job, check
}

// runJob submits one batch job, reads its outputs until all are listed or constants.LoadDrain has
// passed, and reads them once more from the start.
func (r *run) runJob(check *jobCheck, job jobclient.Job, node int) {
	route := r.routes["batch"]
	gateways := append(append([]string(nil), r.info.Ingress[node:]...), r.info.Ingress[:node]...)
	client := &jobclient.Client{Gateways: gateways, Host: route.Host}
	ctx, cancel := contexts.WithTimeout(contexts.Background(), constants.LoadDrain)
	defer cancel()
	started := clock.Now()
	submitCtx, cancelSubmit := contexts.WithTimeout(ctx, 2*constants.JobCallTimeout)
	_, err := client.Submit(submitCtx, check.id, route.Prefix+"lot", job)
	cancelSubmit()
	if err != nil {
		rejected := errs.Is(err, jobclient.ErrRejected)
		r.recordItemsNotExecuted(check, rejected)
		cause := "lot unclear"
		if rejected {
			cause = "lot refused"
		}
		r.result.countFailedItems(len(job.Requests), cause)
		return
	}
	r.result.countSubmission(clock.Now().Sub(started))
	resultSetpoint, reads, readSucceeded := clock.Milliseconds(route.ResultMs), 0, false
	for len(check.outputs) < len(job.Requests) && ctx.Err() == nil {
		reads++
		cursor := len(check.outputs)
		if reads%4 == 0 {
			// Every fourth read is from an earlier position: it must return the same outputs again.
			cursor /= 2
		}
		before := len(check.outputs)
		page, err := client.Read(ctx, check.id, cursor, 0)
		r.checkRead(check, cursor, page, err)
		readSucceeded = readSucceeded || err == nil
		if err == nil {
			took := clock.Now().Sub(started)
			for _, output := range check.outputs[before:] {
				r.result.countItem(output.Phase == jobclient.PhaseSettled, took, took <= resultSetpoint)
			}
		}
		clock.Sleep(constants.LoadPollBackoff)
	}
	if !readSucceeded {
		r.result.addFinding(Finding{"LOST", check.id, "job was accepted, but no read of it returned a complete response"})
	}
	if missing := len(job.Requests) - len(check.outputs); missing > 0 {
		r.result.countFailedItems(missing, "item not listed")
	}
	r.rereadJob(client, check)
}

// rereadJob reads a batch job from the start: the same outputs must be returned again.
func (r *run) rereadJob(client *jobclient.Client, check *jobCheck) {
	ctx, cancel := contexts.WithTimeout(contexts.Background(), 2*constants.JobCallTimeout)
	defer cancel()
	for cursor, outputCount := 0, len(check.outputs); cursor < outputCount; {
		page, err := client.Read(ctx, check.id, cursor, 0)
		r.checkRead(check, cursor, page, err)
		switch {
		case err == nil && len(page.Outputs) == 0:
			r.result.addFinding(Finding{"LOST", check.id, fmt.Sprintf("position %d was read before but is no longer listed", cursor)})
			return
		case err == nil:
			cursor = page.Next
		case !jobclient.IsRetryable(err):
			return
		case ctx.Err() != nil:
			r.result.addNote("job " + check.id + " could not be read again: " + err.Error())
			return
		default:
			clock.Sleep(constants.LabRetry)
		}
	}
}

// checkRead adds the findings of one read of an accepted batch job.
func (r *run) checkRead(check *jobCheck, cursor int, page *jobclient.Page, err error) {
	switch {
	case err == nil:
		for _, finding := range check.addPage(cursor, page) {
			r.result.addFinding(finding)
		}
	case errs.Is(err, jobclient.ErrCorruptResponse):
		r.result.addFinding(Finding{"MIXED", check.id, err.Error()})
	case !jobclient.IsRetryable(err):
		r.result.addFinding(Finding{"LOST", check.id, err.Error()})
	}
}

// recordItemsNotExecuted records for all items of a batch job whose submission failed whether the
// job was rejected: a rejection promises that none of them runs.
func (r *run) recordItemsNotExecuted(check *jobCheck, rejected bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for item := range check.eventCounts {
		r.attempts[item].notExecuted = rejected
	}
}
