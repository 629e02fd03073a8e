package loadgen

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/jobclient"
	"lemonarch/internal/tooling/workeremulator"
)

func rules(findings []Finding) string {
	text := ""
	for _, finding := range findings {
		text += finding.Rule + " "
	}
	return text
}

func sampleAttempts() map[string]*sentAttempt {
	return map[string]*sentAttempt{"a": {attempt: "a", path: "/confirm/1", body: workeremulator.BodySum([]byte("b")), services: []string{"s"}, atMostOnce: true, succeeded: true}}
}

var sampleRun = workeremulator.Run{Attempt: "a", Worker: "w", Service: "s", Method: "POST", Path: "/confirm/1", Body: workeremulator.BodySum([]byte("b")), Ended: true}

func withChange(change func(run *workeremulator.Run)) workeremulator.Run {
	run := sampleRun
	change(&run)
	return run
}

// TestRunsAgainstWhatWasSent checks that each difference between the runs and the attempts is found, and
// nothing else.
func TestRunsAgainstWhatWasSent(t *testing.T) {
	for name, test := range map[string]struct {
		runs []workeremulator.Run
		edit func(sent *sentAttempt)
		want string
	}{
		"valid":               {[]workeremulator.Run{sampleRun}, nil, ""},
		"run twice":           {[]workeremulator.Run{sampleRun, sampleRun}, nil, "TWICE "},
		"three times":         {[]workeremulator.Run{sampleRun, sampleRun, sampleRun}, nil, "TWICE "},
		"may be repeated":     {[]workeremulator.Run{sampleRun, sampleRun}, func(sent *sentAttempt) { sent.atMostOnce = false }, ""},
		"not sent":            {[]workeremulator.Run{sampleRun, withChange(func(run *workeremulator.Run) { run.Attempt = "x" })}, nil, "UNASKED "},
		"other path":          {[]workeremulator.Run{withChange(func(run *workeremulator.Run) { run.Path = "/confirm/2" })}, nil, "UNASKED "},
		"other method":        {[]workeremulator.Run{withChange(func(run *workeremulator.Run) { run.Method = "PUT" })}, nil, "UNASKED "},
		"other body":          {[]workeremulator.Run{withChange(func(run *workeremulator.Run) { run.Body = "" })}, nil, "UNASKED "},
		"other service":       {[]workeremulator.Run{withChange(func(run *workeremulator.Run) { run.Service = "t" })}, nil, "ROUTE "},
		"promised not to run": {[]workeremulator.Run{sampleRun}, func(sent *sentAttempt) { sent.notExecuted = true }, "REFUSED "},
		"item promised":       {[]workeremulator.Run{sampleRun, sampleRun}, func(sent *sentAttempt) { sent.notExecuted, sent.atMostOnce, sent.batchItem = true, false, true }, "REFUSED "},
		"success without run": {nil, nil, "MIXED "},
		"run not completed":   {[]workeremulator.Run{withChange(func(run *workeremulator.Run) { run.Ended = false })}, nil, "MIXED "},
		"failed, no run":      {nil, func(sent *sentAttempt) { sent.succeeded = false }, ""},
	} {
		attempts := sampleAttempts()
		if test.edit != nil {
			test.edit(attempts["a"])
		}
		if got := rules(checkRuns(attempts, test.runs)); got != test.want {
			t.Errorf("%s: got rules %q, want %q", name, got, test.want)
		}
	}
}

// TestWrongSealsAndBodiesAreFound checks that a plain response is a finding if its seal, its echoed attempt
// id or its body is not that of the attempt.
func TestWrongSealsAndBodiesAreFound(t *testing.T) {
	body := []byte("b")
	validBody := workeremulator.PlainBody("a", body)
	for name, test := range map[string]struct {
		seal, echoed, text string
		caught             bool
	}{
		"valid":                  {workeremulator.Seal("w", "a"), "a", validBody, false},
		"another attempt's seal": {workeremulator.Seal("w", "b"), "a", validBody, true},
		"no seal":                {"", "a", validBody, true},
		"forged seal":            {"w.1234", "a", validBody, true},
		"another attempt":        {workeremulator.Seal("w", "a"), "b", validBody, true},
		"half a body":            {workeremulator.Seal("w", "a"), "a", validBody[:5], true},
		"another attempt's body": {workeremulator.Seal("w", "a"), "a", workeremulator.PlainBody("b", body), true},
	} {
		if got := checkPlain("a", body, test.seal, test.echoed, []byte(test.text)); (got != nil) != test.caught {
			t.Errorf("%s: got finding %v, want a finding: %t", name, got, test.caught)
		}
	}
}

func eventText(number int64) string {
	return fmt.Sprintf("id: %d\ndata: %s\n", number, workeremulator.EventData("a", number))
}

// TestWrongEventsAreFound checks that a stream with a missing, repeated, surplus or wrong event is a
// finding.
func TestWrongEventsAreFound(t *testing.T) {
	for name, test := range map[string]struct {
		from   int64
		events []string
		rule   string
	}{
		"valid":            {0, []string{eventText(1), eventText(2), eventText(3)}, ""},
		"resumed":          {2, []string{eventText(3)}, ""},
		"missing":          {0, []string{eventText(1), eventText(3)}, "ORDER"},
		"missing first":    {0, []string{eventText(2), eventText(3)}, "ORDER"},
		"twice":            {0, []string{eventText(1), eventText(1), eventText(2), eventText(3)}, "ORDER"},
		"ends early":       {0, []string{eventText(1), eventText(2)}, "ORDER"},
		"one too many":     {0, []string{eventText(1), eventText(2), eventText(3), eventText(4)}, "ORDER"},
		"wrong event data": {0, []string{eventText(1), "id: 2\ndata: x\n", eventText(3)}, "MIXED"},
	} {
		check := &streamCheck{attempt: "a", lastEventID: test.from, eventCount: 3}
		complete := true
		for _, text := range test.events {
			if complete = check.addEvent(text); !complete {
				break
			}
		}
		if complete {
			check.finish()
		}
		got := ""
		if check.finding != nil {
			got = check.finding.Rule
		}
		if got != test.rule {
			t.Errorf("%s: got rule %q, want %q", name, got, test.rule)
		}
	}
}

// TestWrongJobPagesAreFound checks that a page of a batch job is a finding if it has wrong items or differs
// from an earlier read.
func TestWrongJobPagesAreFound(t *testing.T) {
	first := jobclient.Output{ID: "i1", Phase: jobclient.PhaseSettled, Text: completeText("i1", 2)}
	second := jobclient.Output{ID: "i2", Phase: jobclient.PhaseSettled, Text: completeText("i2", 3)}
	dropped := jobclient.Output{ID: "i2", Phase: jobclient.PhaseAbandoned}
	type read struct {
		cursor  int
		sum     int
		outputs []jobclient.Output
	}
	list := func(outputs ...jobclient.Output) []jobclient.Output { return outputs }
	short := first
	short.Text = completeText("i1", 1)
	for name, test := range map[string]struct {
		reads []read
		want  string
	}{
		"valid":              {[]read{{0, 2, list(first)}, {1, 2, list(second)}, {0, 2, list(first, second)}}, ""},
		"abandoned":          {[]read{{0, 2, list(first, dropped)}}, ""},
		"item twice":         {[]read{{0, 2, list(first, first)}}, "TWICE "},
		"position changed":   {[]read{{0, 2, list(first)}, {0, 2, list(second)}}, "TWICE "},
		"phase changed":      {[]read{{0, 2, list(first, dropped)}, {1, 2, list(second)}}, "TWICE "},
		"event missing":      {[]read{{0, 2, list(short)}}, "MIXED "},
		"another job's item": {[]read{{0, 2, list(jobclient.Output{ID: "x", Phase: jobclient.PhaseSettled})}}, "MIXED "},
		"wrong sum":          {[]read{{0, 3, list(first)}}, "MIXED "},
		"unknown phase":      {[]read{{0, 2, list(jobclient.Output{ID: "i1", Phase: "done", Text: first.Text})}}, "MIXED "},
	} {
		check := newJobCheck("lot")
		check.eventCounts = map[string]int64{"i1": 2, "i2": 3}
		var findings []Finding
		for _, read := range test.reads {
			findings = append(findings, check.addPage(read.cursor, &jobclient.Page{Total: read.sum, Outputs: read.outputs})...)
		}
		if got := rules(findings); got != test.want {
			t.Errorf("%s: got rules %q, want %q", name, got, test.want)
		}
	}
}

// TestCutRequestsThatRanAreFound checks that, during planned work, a request that ran at a worker and
// whose connection ended before a complete response is found. One that never reached a worker is not.
func TestCutRequestsThatRanAreFound(t *testing.T) {
	attempts := map[string]*sentAttempt{"ran": {attempt: "ran", cut: true}, "crossed": {attempt: "crossed", cut: true}, "answered": {attempt: "answered"}}
	runs := []workeremulator.Run{{Attempt: "ran", Worker: "w1"}, {Attempt: "ran", Worker: "w2"}, {Attempt: "answered", Worker: "w1"}}
	findings := checkCuts(attempts, runs, nil)
	if len(findings) != 1 || findings[0].Rule != "LOST" || findings[0].Attempt != "ran" {
		t.Errorf("got findings %v, want one LOST finding for attempt \"ran\"", findings)
	}
}
