package foreman

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/fixture"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/vise"
)

// asked puts a question to a foreman as the transport would.
func asked(test *testing.T, foreman *Foreman, kind pattern.Kind, question tongs.Writable, back tongs.Readable) {
	body, _ := question.MarshalMsg(nil)
	text, failure := foreman.Stand.Handle(kind, body)
	if failure != nil {
		test.Fatal(kind, failure)
	}
	if failure = tongs.Read(text, back); failure != nil {
		test.Fatal(kind, failure)
	}
}

func rulesAndAnswer(test *testing.T, change ...string) (rules, answer []byte) {
	text, failure := os.ReadFile("../../docs/assign/rules.toml")
	if failure != nil {
		test.Fatal(failure)
	}
	changed := strings.NewReplacer(change...).Replace(string(text))
	read, findings := fixture.Read([]byte(changed))
	if len(findings) > 0 {
		test.Fatal(findings)
	}
	plan, _, _, _ := fixture.Plan(read, nil, nil)
	body := &bytes.Buffer{}
	_ = fixture.JSON(body, plan)
	return []byte(changed), body.Bytes()
}

// TestApplyOverARealDisk: what PROTOCOL asks of configurations holds for assignments,
// on a register that shares nothing with the configuration's.
func TestApplyOverARealDisk(test *testing.T) {
	folder := test.TempDir()
	foreman, server := open(test, folder, true)
	if status, _ := call(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		test.Fatal(status)
	}
	rules, answer := rulesAndAnswer(test)
	next, nextAnswer := rulesAndAnswer(test, "generation = 4", "generation = 5")
	for _, step := range []struct {
		name     string
		question pattern.PlanApply
		taken    bool
		revision int64
		why      string
	}{
		{"wrong base", pattern.PlanApply{Base: 3, Rules: rules, Answer: answer}, false, 0, "another plan"},
		{"first", pattern.PlanApply{Base: 0, Rules: rules, Answer: answer}, true, 1, ""},
		{"resent", pattern.PlanApply{Base: 0, Rules: rules, Answer: answer}, true, 1, "in force already"},
		{"lost its race", pattern.PlanApply{Base: 0, Rules: next, Answer: nextAnswer}, false, 1, "another plan"},
		{"answer of other rules", pattern.PlanApply{Base: 1, Rules: next, Answer: answer}, false, 1, "another generation"},
		{"old generation", pattern.PlanApply{Base: 1, Rules: append([]byte("# older\n"), rules...), Answer: answer}, false, 1, "generation is not above"},
		{"too large", pattern.PlanApply{Base: 1, Rules: append(bytes.Repeat([]byte("# long\n"), almanac.PlanBody/7), next...), Answer: nextAnswer}, false, 1, "too large"},
		{"next", pattern.PlanApply{Base: 1, Rules: next, Answer: nextAnswer}, true, 2, ""},
	} {
		back := &pattern.PlanApplied{}
		asked(test, foreman, pattern.KindPlanApply, &step.question, back)
		for tries := 0; back.Unclear && tries < 20; tries++ {
			// A disk that syncs too slowly leaves it unclear: the same again tells.
			asked(test, foreman, pattern.KindPlanApply, &step.question, back)
		}
		if back.Taken != step.taken || back.Unclear || !strings.Contains(back.Why, step.why) || (step.revision > 0 && back.Revision > 0 && back.Revision != step.revision) {
			test.Errorf("%s: %+v", step.name, back)
		}
	}
	if status, body := call(test, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		test.Fatal("the configuration was touched: ", status, body)
	}
	again, server := open(test, folder, false)
	told := &pattern.PlanTold{}
	asked(test, again, pattern.KindPlanPull, &pattern.PlanPull{Whole: true, Settled: true}, told)
	if told.Revision != 2 || told.Generation != 5 || !bytes.Equal(told.Value.Rules, next) {
		test.Fatal("after a restart: ", told.Revision, told.Generation)
	}
	asked(test, again, pattern.KindPlanPull, &pattern.PlanPull{Node: "n3"}, told)
	if len(told.Places) != 1 || told.Places[0].Adapter != "battery-fault-reader" || len(told.Value.Rules) != 0 {
		test.Fatal(told)
	}
	if status, body := call(test, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		test.Fatal("after a restart the configuration is ", status, body)
	}
}

// TestNamedBallotsAreTheirOwn: a high ballot in one register stops nobody in another.
func TestNamedBallotsAreTheirOwn(test *testing.T) {
	foreman, server := open(test, test.TempDir(), true)
	identity := foreman.plans.register.Identity()
	high := vise.NewBallot(1<<40, "other", "disk", 1)
	back := &pattern.Promise{}
	asked(test, foreman, pattern.KindNamedPrepare, &pattern.NamedPrepare{Name: PlansRegister, Prepare: pattern.Prepare{Ballot: high, Disk: identity.Disk}}, back)
	if !back.Granted {
		test.Fatal("not granted")
	}
	if before := foreman.Register.acceptor.Record().Promised; before.Counter >= 1<<40 {
		test.Fatal("the configuration's ballot moved: ", before)
	}
	if status, _ := call(test, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		test.Fatal(status)
	}
	body, _ := (&pattern.NamedPrepare{Name: "nobody's"}).MarshalMsg(nil)
	if _, failure := foreman.Stand.Handle(pattern.KindNamedPrepare, body); failure == nil {
		test.Fatal("a register that nobody keeps promised something")
	}
}
