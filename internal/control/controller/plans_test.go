package controller

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// asked puts a question to a controller as the transport would.
func asked(t *testing.T, controller *Controller, kind messages.Kind, question transport.Writable, back transport.Readable) {
	body, _ := question.MarshalMsg(nil)
	text, err := controller.Node.Handle(kind, body)
	if err != nil {
		t.Fatal(kind, err)
	}
	if err = transport.Read(text, back); err != nil {
		t.Fatal(kind, err)
	}
}

func rulesAndAnswer(t *testing.T, change ...string) (rules, answer []byte) {
	text, err := os.ReadFile("../../../docs/assign/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(change...).Replace(string(text))
	read, findings := adapterplan.Read([]byte(changed))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	plan, _, _, _ := adapterplan.Plan(read, nil, nil)
	body := &bytes.Buffer{}
	_ = adapterplan.JSON(body, plan)
	return []byte(changed), body.Bytes()
}

// TestApplyOverARealDisk: what PROTOCOL asks of configurations holds for assignments,
// on a register that shares nothing with the configuration's.
func TestApplyOverARealDisk(t *testing.T) {
	folder := t.TempDir()
	controller, server := open(t, folder, true)
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatal(status)
	}
	rules, answer := rulesAndAnswer(t)
	next, nextAnswer := rulesAndAnswer(t, "generation = 4", "generation = 5")
	for _, step := range []struct {
		name     string
		question messages.PlanApply
		taken    bool
		revision int64
		why      string
	}{
		{"wrong base", messages.PlanApply{Base: 3, Rules: rules, Answer: answer}, false, 0, "another plan"},
		{"first", messages.PlanApply{Base: 0, Rules: rules, Answer: answer}, true, 1, ""},
		{"resent", messages.PlanApply{Base: 0, Rules: rules, Answer: answer}, true, 1, "in force already"},
		{"lost its race", messages.PlanApply{Base: 0, Rules: next, Answer: nextAnswer}, false, 1, "another plan"},
		{"answer of other rules", messages.PlanApply{Base: 1, Rules: next, Answer: answer}, false, 1, "another generation"},
		{"old generation", messages.PlanApply{Base: 1, Rules: append([]byte("# older\n"), rules...), Answer: answer}, false, 1, "generation is not above"},
		{"too large", messages.PlanApply{Base: 1, Rules: append(bytes.Repeat([]byte("# long\n"), constants.PlanBody/7), next...), Answer: nextAnswer}, false, 1, "too large"},
		{"next", messages.PlanApply{Base: 1, Rules: next, Answer: nextAnswer}, true, 2, ""},
	} {
		back := &messages.PlanApplied{}
		asked(t, controller, messages.KindPlanApply, &step.question, back)
		for tries := 0; back.Unclear && tries < 20; tries++ {
			// A disk that syncs too slowly leaves it unclear: the same again tells.
			asked(t, controller, messages.KindPlanApply, &step.question, back)
		}
		if back.Taken != step.taken || back.Unclear || !strings.Contains(back.Why, step.why) || (step.revision > 0 && back.Revision > 0 && back.Revision != step.revision) {
			t.Errorf("%s: %+v", step.name, back)
		}
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("the configuration was touched: ", status, body)
	}
	again, server := open(t, folder, false)
	told := &messages.PlanTold{}
	asked(t, again, messages.KindPlanPull, &messages.PlanPull{Whole: true, Settled: true}, told)
	if told.Revision != 2 || told.Generation != 5 || !bytes.Equal(told.Value.Rules, next) {
		t.Fatal("after a restart: ", told.Revision, told.Generation)
	}
	asked(t, again, messages.KindPlanPull, &messages.PlanPull{Node: "n3"}, told)
	if len(told.Places) != 1 || told.Places[0].Adapter != "battery-fault-reader" || len(told.Value.Rules) != 0 {
		t.Fatal(told)
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("after a restart the configuration is ", status, body)
	}
}

// TestNamedBallotsAreTheirOwn: a high ballot in one register stops nobody in another.
func TestNamedBallotsAreTheirOwn(t *testing.T) {
	controller, server := open(t, t.TempDir(), true)
	identity := controller.plans.localRegister.Identity()
	high := register.NewBallot(1<<40, "other", "disk", 1)
	back := &messages.Promise{}
	asked(t, controller, messages.KindNamedPrepare, &messages.NamedPrepare{Name: PlansRegister, Prepare: messages.Prepare{Ballot: high, Disk: identity.Disk}}, back)
	if !back.Granted {
		t.Fatal("not granted")
	}
	if before := controller.Register.Record().Promised; before.Counter >= 1<<40 {
		t.Fatal("the configuration's ballot moved: ", before)
	}
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatal(status)
	}
	body, _ := (&messages.NamedPrepare{Name: "nobody's"}).MarshalMsg(nil)
	if _, err := controller.Node.Handle(messages.KindNamedPrepare, body); err == nil {
		t.Fatal("a register that nobody keeps promised something")
	}
}
