package loadgen

import (
	"fmt"
	"strings"

	"lemonarch/internal/batch/jobclient"
	"lemonarch/internal/tooling/workeremulator"
)

// sent is what is known of one attempt that a client sent.
type sentAttempt struct {
	attempt    string
	path, body string
	services   []string
	// once: may not run twice. promised: it was answered that it has not run.
	atMostOnce, notExecuted, succeeded, batchItem bool
	// cut: its connection ended without a whole answer.
	cut bool
}

// checkPlain holds a plain success against what the worker must have said.
func checkPlain(attempt string, body []byte, seal, echoed string, got []byte) *Finding {
	if finding := checkSeal(attempt, seal, echoed); finding != nil {
		return finding
	}
	if string(got) != workeremulator.PlainBody(attempt, body) {
		return &Finding{"MIXED", attempt, "the body is not the worker's whole body"}
	}
	return nil
}

func checkSeal(attempt, seal, echoed string) *Finding {
	if echoed != attempt {
		return &Finding{"MIXED", attempt, "the answer names another attempt: " + echoed}
	}
	if _, holds := workeremulator.Sealed(seal, attempt); !holds {
		return &Finding{"MIXED", attempt, "the stamp is not a worker's for this attempt"}
	}
	return nil
}

// follower checks a stream, event by event.
type streamCheck struct {
	attempt string
	// last is the id of the last event; all is how many there must be.
	lastID, eventCount int64
	finding   *Finding
}

// event takes one event; false once the order is broken.
func (f *streamCheck) addEvent(text string) bool {
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
	case id != f.lastID+1:
		f.finding = &Finding{"ORDER", f.attempt, fmt.Sprintf("event %d follows event %d", id, f.lastID)}
	case data != workeremulator.EventData(f.attempt, id):
		f.finding = &Finding{"MIXED", f.attempt, fmt.Sprintf("event %d is not the worker's", id)}
	case id > f.eventCount:
		f.finding = &Finding{"ORDER", f.attempt, fmt.Sprintf("event %d of %d", id, f.eventCount)}
	}
	f.lastID = id
	return f.finding == nil
}

// end takes the clean end of a stream.
func (f *streamCheck) finish() *Finding {
	if f.finding == nil && f.lastID != f.eventCount {
		f.finding = &Finding{"ORDER", f.attempt, fmt.Sprintf("ends as complete behind event %d of %d", f.lastID, f.eventCount)}
	}
	return f.finding
}

// checkRuns holds what was sent against what the workers ran.
func checkRuns(all map[string]*sentAttempt, runs []workeremulator.Run) []Finding {
	var findings []Finding
	count := map[string]int{}
	ended := map[string]bool{}
	for _, run := range runs {
		entry := all[run.Attempt]
		if entry == nil {
			findings = append(findings, Finding{"UNASKED", run.Attempt, "ran at " + run.Worker + ", and nobody sent it"})
			continue
		}
		count[run.Attempt]++
		ended[run.Attempt] = ended[run.Attempt] || run.Ended
		if run.Path != entry.path || run.Body != entry.body || run.Method != "POST" {
			findings = append(findings, Finding{"UNASKED", run.Attempt, "ran with another method, path or body: " + run.Method + " " + run.Path})
		}
		fits := false
		for _, service := range entry.services {
			fits = fits || service == run.Service
		}
		if !fits {
			findings = append(findings, Finding{"ROUTE", run.Attempt, "ran at service " + run.Service})
		}
		if entry.atMostOnce && count[run.Attempt] == 2 {
			findings = append(findings, Finding{"TWICE", run.Attempt, "ran again at " + run.Worker})
		}
		if (entry.atMostOnce || entry.batchItem) && entry.notExecuted && count[run.Attempt] == 1 {
			findings = append(findings, Finding{"REFUSED", run.Attempt, "was promised not to run, and ran at " + run.Worker})
		}
	}
	for attempt, entry := range all {
		if entry.succeeded && !ended[attempt] {
			findings = append(findings, Finding{"MIXED", attempt, "a success that no worker gave"})
		}
	}
	return findings
}

// checkCuts finds the attempts that were passed on to a worker and whose connection ended without
// a whole answer all the same, which planned work may not bring about. An attempt that crossed the
// close of its connection was not passed on.
func checkCuts(all map[string]*sentAttempt, runs []workeremulator.Run) []Finding {
	var findings []Finding
	reported := map[string]bool{}
	for _, run := range runs {
		if entry := all[run.Attempt]; entry != nil && entry.cut && !reported[run.Attempt] {
			reported[run.Attempt] = true
			findings = append(findings, Finding{"LOST", run.Attempt, "ran at " + run.Worker + ", and its connection ended without a whole answer"})
		}
	}
	return findings
}

// jobCheck follows one lot through its reads.
type jobCheck struct {
	id string
	// events is how many events each item has; listed is what stands at each position.
	eventCounts   map[string]int64
	outputs   []jobclient.Output
	positions map[string]int
}

func newJobCheck(id string) *jobCheck {
	return &jobCheck{id: id, eventCounts: map[string]int64{}, positions: map[string]int{}}
}

// page takes what one read gave from a position on.
func (l *jobCheck) addPage(cursor int, page *jobclient.Page) []Finding {
	var findings []Finding
	add := func(rule, what string) { findings = append(findings, Finding{rule, l.id, what}) }
	if page.Sum != len(l.eventCounts) {
		add("MIXED", fmt.Sprintf("sum is %d, items are %d", page.Sum, len(l.eventCounts)))
	}
	for i, output := range page.Outputs {
		at := cursor + i
		if at < len(l.outputs) {
			if l.outputs[at] != output {
				add("TWICE", fmt.Sprintf("position %d holds another result than before", at))
			}
			continue
		}
		if before, twice := l.positions[output.ID]; twice {
			add("TWICE", fmt.Sprintf("item %s stands at positions %d and %d", output.ID, before, at))
		}
		l.positions[output.ID] = at
		l.outputs = append(l.outputs, output)
		events, known := l.eventCounts[output.ID]
		switch {
		case !known:
			add("MIXED", "item "+output.ID+" belongs to another lot")
		case output.Phase == jobclient.PhaseSettled && output.Text != completeText(output.ID, events):
			add("MIXED", "the text of item "+output.ID+" is not its whole output")
		case output.Phase != jobclient.PhaseSettled && output.Phase != jobclient.PhaseAbandoned:
			add("MIXED", "item "+output.ID+" has the phase "+output.Phase)
		}
	}
	return findings
}

// completeText is what a settled item must hold.
func completeText(item string, events int64) string {
	lines := make([]string, 0, events)
	for number := int64(1); number <= events; number++ {
		lines = append(lines, workeremulator.EventData(item, number))
	}
	return strings.Join(lines, "\n")
}
