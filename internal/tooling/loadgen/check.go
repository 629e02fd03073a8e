package loadgen

import (
	"fmt"
	"strings"

	"lemonarch/internal/batch/jobclient"
	"lemonarch/internal/tooling/workeremulator"
)

// sentAttempt records one attempt that a client sent.
type sentAttempt struct {
	attempt string
	// body is the checksum of the request body; services are the services of the route, each of
	// which may run the attempt.
	path, body string
	services   []string
	// atMostOnce is set if the attempt must not run twice, notExecuted if the response promised
	// that it has not run and will not run, batchItem if it is an item of a batch job.
	atMostOnce, notExecuted, succeeded, batchItem bool
	// cut is set if its connection ended before a complete response, at cutNanos. node is the address that
	// it was sent to, sentNanos when its last byte was sent (0 if it was not). Both are Unix times in ns.
	cut                 bool
	node                string
	sentNanos, cutNanos int64
}

// checkPlain compares a successful plain response with the one that the worker must have sent.
func checkPlain(attempt string, body []byte, seal, echoed string, got []byte) *Finding {
	if finding := checkSeal(attempt, seal, echoed); finding != nil {
		return finding
	}
	if string(got) != workeremulator.PlainBody(attempt, body) {
		return &Finding{"MIXED", attempt, "body differs from the worker's complete body"}
	}
	return nil
}

// checkSeal checks that a response names the attempt and has a worker's seal for it.
func checkSeal(attempt, seal, echoed string) *Finding {
	if echoed != attempt {
		return &Finding{"MIXED", attempt, "response names another attempt: " + echoed}
	}
	if _, valid := workeremulator.VerifySeal(seal, attempt); !valid {
		return &Finding{"MIXED", attempt, "seal is not a worker's seal for this attempt"}
	}
	return nil
}

// streamCheck checks a stream event by event.
type streamCheck struct {
	attempt string
	// lastEventID is the id of the last event; eventCount is the number of events in the whole stream.
	lastEventID, eventCount int64
	finding                 *Finding
}

// addEvent checks the next event. It returns false once an event is wrong or out of order.
func (c *streamCheck) addEvent(text string) bool {
	var id int64
	data := ""
	for _, line := range strings.Split(text, "\n") {
		if rest, found := strings.CutPrefix(line, "id:"); found {
			_, _ = fmt.Sscan(rest, &id)
		} else if rest, found := strings.CutPrefix(line, "data:"); found {
			data = strings.TrimPrefix(rest, " ")
		}
	}
	switch {
	case id != c.lastEventID+1:
		c.finding = &Finding{"ORDER", c.attempt, fmt.Sprintf("event %d follows event %d", id, c.lastEventID)}
	case data != workeremulator.EventData(c.attempt, id):
		c.finding = &Finding{"MIXED", c.attempt, fmt.Sprintf("event %d differs from the worker's event", id)}
	case id > c.eventCount:
		c.finding = &Finding{"ORDER", c.attempt, fmt.Sprintf("got event %d, want at most %d events", id, c.eventCount)}
	}
	c.lastEventID = id
	return c.finding == nil
}

// finish checks the regular end of a stream.
func (c *streamCheck) finish() *Finding {
	if c.finding == nil && c.lastEventID != c.eventCount {
		c.finding = &Finding{"ORDER", c.attempt, fmt.Sprintf("stream ended as complete after event %d of %d", c.lastEventID, c.eventCount)}
	}
	return c.finding
}

// checkRuns compares the attempts sent with the runs that the workers recorded.
func checkRuns(attempts map[string]*sentAttempt, runs []workeremulator.Run) []Finding {
	var findings []Finding
	count := map[string]int{}
	ended := map[string]bool{}
	for _, run := range runs {
		sent := attempts[run.Attempt]
		if sent == nil {
			findings = append(findings, Finding{"UNASKED", run.Attempt, "ran at " + run.Worker + " but was not sent by any client"})
			continue
		}
		count[run.Attempt]++
		ended[run.Attempt] = ended[run.Attempt] || run.Ended
		if run.Path != sent.path || run.Body != sent.body || run.Method != "POST" {
			findings = append(findings, Finding{"UNASKED", run.Attempt, "ran with another method, path or body: " + run.Method + " " + run.Path})
		}
		serviceMatches := false
		for _, service := range sent.services {
			serviceMatches = serviceMatches || service == run.Service
		}
		if !serviceMatches {
			findings = append(findings, Finding{"ROUTE", run.Attempt, "ran at service " + run.Service})
		}
		if sent.atMostOnce && count[run.Attempt] == 2 {
			findings = append(findings, Finding{"TWICE", run.Attempt, "ran a second time at " + run.Worker})
		}
		if (sent.atMostOnce || sent.batchItem) && sent.notExecuted && count[run.Attempt] == 1 {
			findings = append(findings, Finding{"REFUSED", run.Attempt, "response promised that it does not run, but it ran at " + run.Worker})
		}
	}
	for attempt, sent := range attempts {
		if sent.succeeded && !ended[attempt] {
			findings = append(findings, Finding{"MIXED", attempt, "successful response without a completed run at any worker"})
		}
	}
	return findings
}

// jobCheck checks the reads of one batch job against each other.
type jobCheck struct {
	id string
	// eventCounts is the number of events of each item by id. outputs are the outputs read so far
	// by position, and positions is the position of each item by id.
	eventCounts map[string]int64
	outputs     []jobclient.Output
	positions   map[string]int
}

func newJobCheck(id string) *jobCheck {
	return &jobCheck{id: id, eventCounts: map[string]int64{}, positions: map[string]int{}}
}

// addPage checks the page that one read from position cursor returned, and adds its new outputs.
func (c *jobCheck) addPage(cursor int, page *jobclient.Page) []Finding {
	var findings []Finding
	add := func(rule, text string) { findings = append(findings, Finding{rule, c.id, text}) }
	if page.Total != len(c.eventCounts) {
		add("MIXED", fmt.Sprintf("sum is %d, want %d items", page.Total, len(c.eventCounts)))
	}
	for i, output := range page.Outputs {
		index := cursor + i
		if index < len(c.outputs) {
			if c.outputs[index] != output {
				add("TWICE", fmt.Sprintf("output at position %d differs from an earlier read", index))
			}
			continue
		}
		if before, repeated := c.positions[output.ID]; repeated {
			add("TWICE", fmt.Sprintf("item %s is at positions %d and %d", output.ID, before, index))
		}
		c.positions[output.ID] = index
		c.outputs = append(c.outputs, output)
		events, known := c.eventCounts[output.ID]
		switch {
		case !known:
			add("MIXED", "item "+output.ID+" belongs to another job")
		case output.Phase == jobclient.PhaseSettled && output.Text != completeText(output.ID, events):
			add("MIXED", "text of item "+output.ID+" differs from its complete output")
		case output.Phase != jobclient.PhaseSettled && output.Phase != jobclient.PhaseAbandoned:
			add("MIXED", "item "+output.ID+" has unexpected phase "+output.Phase)
		}
	}
	return findings
}

// completeText returns the text that a settled item must have.
func completeText(item string, events int64) string {
	lines := make([]string, 0, events)
	for number := int64(1); number <= events; number++ {
		lines = append(lines, workeremulator.EventData(item, number))
	}
	return strings.Join(lines, "\n")
}
