package treadle

import (
	"fmt"
	"testing"

	"lemonarch/internal/anvil"
	"lemonarch/internal/hopper"
)

func rules(findings []Finding) string {
	text := ""
	for _, finding := range findings {
		text += finding.Rule + " "
	}
	return text
}

func oneSent() map[string]*sent {
	return map[string]*sent{"a": {attempt: "a", path: "/confirm/1", body: anvil.BodySum([]byte("b")), services: []string{"s"}, once: true, succeeded: true}}
}

var oneRun = anvil.Run{Attempt: "a", Worker: "w", Service: "s", Method: "POST", Path: "/confirm/1", Body: anvil.BodySum([]byte("b")), Ended: true}

func changed(change func(run *anvil.Run)) anvil.Run {
	run := oneRun
	change(&run)
	return run
}

// Each way in which runs may differ from what was sent is caught, and only it.
func TestRunsAgainstWhatWasSent(test *testing.T) {
	for name, one := range map[string]struct {
		runs []anvil.Run
		edit func(sent *sent)
		want string
	}{
		"sound":            {[]anvil.Run{oneRun}, nil, ""},
		"doubled":          {[]anvil.Run{oneRun, oneRun}, nil, "TWICE "},
		"three times":      {[]anvil.Run{oneRun, oneRun, oneRun}, nil, "TWICE "},
		"may be repeated":  {[]anvil.Run{oneRun, oneRun}, func(sent *sent) { sent.once = false }, ""},
		"unasked":          {[]anvil.Run{oneRun, changed(func(run *anvil.Run) { run.Attempt = "x" })}, nil, "UNASKED "},
		"other path":       {[]anvil.Run{changed(func(run *anvil.Run) { run.Path = "/confirm/2" })}, nil, "UNASKED "},
		"other method":     {[]anvil.Run{changed(func(run *anvil.Run) { run.Method = "PUT" })}, nil, "UNASKED "},
		"other body":       {[]anvil.Run{changed(func(run *anvil.Run) { run.Body = "" })}, nil, "UNASKED "},
		"other service":    {[]anvil.Run{changed(func(run *anvil.Run) { run.Service = "t" })}, nil, "ROUTE "},
		"promised and ran": {[]anvil.Run{oneRun}, func(sent *sent) { sent.promised = true }, "REFUSED "},
		"item promised":    {[]anvil.Run{oneRun, oneRun}, func(sent *sent) { sent.promised, sent.once, sent.item = true, false, true }, "REFUSED "},
		"nobody's success": {nil, nil, "MIXED "},
		"cut success":      {[]anvil.Run{changed(func(run *anvil.Run) { run.Ended = false })}, nil, "MIXED "},
		"failed, no run":   {nil, func(sent *sent) { sent.succeeded = false }, ""},
	} {
		all := oneSent()
		if one.edit != nil {
			one.edit(all["a"])
		}
		if got := rules(checkRuns(all, one.runs)); got != one.want {
			test.Errorf("%s: %q, not %q", name, got, one.want)
		}
	}
}

func TestStampAndBody(test *testing.T) {
	body := []byte("b")
	sound := anvil.PlainBody("a", body)
	for name, one := range map[string]struct {
		seal, echoed, text string
		caught             bool
	}{
		"sound":            {anvil.Seal("w", "a"), "a", sound, false},
		"another's stamp":  {anvil.Seal("w", "b"), "a", sound, true},
		"no stamp":         {"", "a", sound, true},
		"made-up stamp":    {"w.1234", "a", sound, true},
		"another attempt":  {anvil.Seal("w", "a"), "b", sound, true},
		"half a body":      {anvil.Seal("w", "a"), "a", sound[:5], true},
		"another's answer": {anvil.Seal("w", "a"), "a", anvil.PlainBody("b", body), true},
	} {
		if got := checkPlain("a", body, one.seal, one.echoed, []byte(one.text)); (got != nil) != one.caught {
			test.Error(name, got)
		}
	}
}

func event(number int64) string {
	return fmt.Sprintf("id: %d\ndata: %s\n", number, anvil.EventData("a", number))
}

func TestOrderOfEvents(test *testing.T) {
	for name, one := range map[string]struct {
		from   int64
		events []string
		rule   string
	}{
		"sound":           {0, []string{event(1), event(2), event(3)}, ""},
		"goes on":         {2, []string{event(3)}, ""},
		"missing":         {0, []string{event(1), event(3)}, "ORDER"},
		"missing first":   {0, []string{event(2), event(3)}, "ORDER"},
		"twice":           {0, []string{event(1), event(1), event(2), event(3)}, "ORDER"},
		"ends early":      {0, []string{event(1), event(2)}, "ORDER"},
		"one too many":    {0, []string{event(1), event(2), event(3), event(4)}, "ORDER"},
		"another's event": {0, []string{event(1), "id: 2\ndata: x\n", event(3)}, "MIXED"},
	} {
		follower := &follower{attempt: "a", last: one.from, all: 3}
		whole := true
		for _, text := range one.events {
			if whole = follower.event(text); !whole {
				break
			}
		}
		if whole {
			follower.end()
		}
		got := ""
		if follower.finding != nil {
			got = follower.finding.Rule
		}
		if got != one.rule {
			test.Errorf("%s: %q, not %q", name, got, one.rule)
		}
	}
}

func TestPagesOfALot(test *testing.T) {
	first := hopper.Output{ID: "i1", Phase: hopper.Settled, Text: wholeText("i1", 2)}
	second := hopper.Output{ID: "i2", Phase: hopper.Settled, Text: wholeText("i2", 3)}
	dropped := hopper.Output{ID: "i2", Phase: hopper.Abandoned}
	type read struct {
		cursor  int
		sum     int
		outputs []hopper.Output
	}
	list := func(outputs ...hopper.Output) []hopper.Output { return outputs }
	short := first
	short.Text = wholeText("i1", 1)
	for name, one := range map[string]struct {
		reads []read
		want  string
	}{
		"sound":              {[]read{{0, 2, list(first)}, {1, 2, list(second)}, {0, 2, list(first, second)}}, ""},
		"abandoned":          {[]read{{0, 2, list(first, dropped)}}, ""},
		"item twice":         {[]read{{0, 2, list(first, first)}}, "TWICE "},
		"position changed":   {[]read{{0, 2, list(first)}, {0, 2, list(second)}}, "TWICE "},
		"phase changed":      {[]read{{0, 2, list(first, dropped)}, {1, 2, list(second)}}, "TWICE "},
		"event missing":      {[]read{{0, 2, list(short)}}, "MIXED "},
		"another lot's item": {[]read{{0, 2, list(hopper.Output{ID: "x", Phase: hopper.Settled})}}, "MIXED "},
		"wrong sum":          {[]read{{0, 3, list(first)}}, "MIXED "},
		"unknown phase":      {[]read{{0, 2, list(hopper.Output{ID: "i1", Phase: "done", Text: first.Text})}}, "MIXED "},
	} {
		check := newLotCheck("lot")
		check.events = map[string]int64{"i1": 2, "i2": 3}
		var findings []Finding
		for _, read := range one.reads {
			findings = append(findings, check.page(read.cursor, &hopper.Page{Sum: read.sum, Outputs: read.outputs})...)
		}
		if got := rules(findings); got != one.want {
			test.Errorf("%s: %q, not %q", name, got, one.want)
		}
	}
}
