package controller

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/assignmentserver"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// dispatchTo puts a request to a controller as the transport would.
func dispatchTo(t *testing.T, controller *Controller, kind messages.Kind, req transport.Marshaler, resp transport.Unmarshaler) {
	t.Helper()

	body, _ := req.MarshalMsg(nil)
	text, err := controller.Node.Dispatch(kind, body)
	if err != nil {
		t.Fatal(kind, err)
	}
	if err = transport.Decode(text, resp); err != nil {
		t.Fatal(kind, err)
	}
}

func rulesAndSolution(t *testing.T, change ...string) (rules, resp []byte) {
	t.Helper()

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
	rules, resp := rulesAndSolution(t)
	next, nextResponse := rulesAndSolution(t, "generation = 4", "generation = 5")
	for _, step := range []struct {
		name     string
		question messages.PlanApplyRequest
		taken    bool
		revision int64
		why      string
	}{
		{"wrong base", messages.PlanApplyRequest{Base: 3, Rules: rules, Solution: resp}, false, 0, "another plan"},
		{"first", messages.PlanApplyRequest{Base: 0, Rules: rules, Solution: resp}, true, 1, ""},
		{"resent", messages.PlanApplyRequest{Base: 0, Rules: rules, Solution: resp}, true, 1, "in force already"},
		{"lost its race", messages.PlanApplyRequest{Base: 0, Rules: next, Solution: nextResponse}, false, 1, "another plan"},
		{"answer of other rules", messages.PlanApplyRequest{Base: 1, Rules: next, Solution: resp}, false, 1, "another generation"},
		{"old generation", messages.PlanApplyRequest{Base: 1, Rules: append([]byte("# older\n"), rules...), Solution: resp}, false, 1, "generation is not above"},
		{"too large", messages.PlanApplyRequest{Base: 1, Rules: append(bytes.Repeat([]byte("# long\n"), constants.PlanBody/7), next...), Solution: nextResponse}, false, 1, "too large"},
		{"next", messages.PlanApplyRequest{Base: 1, Rules: next, Solution: nextResponse}, true, 2, ""},
	} {
		response := &messages.PlanApplyResponse{}
		dispatchTo(t, controller, messages.KindPlanApply, &step.question, response)
		for attempts := 0; response.Unclear && attempts < 20; attempts++ {
			// A disk that syncs too slowly leaves it unclear: the same again tells.
			dispatchTo(t, controller, messages.KindPlanApply, &step.question, response)
		}
		if response.Applied != step.taken || response.Unclear || !strings.Contains(response.Reason, step.why) || (step.revision > 0 && response.Revision > 0 && response.Revision != step.revision) {
			t.Errorf("%s: %+v", step.name, response)
		}
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("the configuration was touched: ", status, body)
	}
	again, server := open(t, folder, false)
	plan := &messages.PlanResponse{}
	dispatchTo(t, again, messages.KindPlanPull, &messages.PlanRequest{Complete: true, Linearizable: true}, plan)
	if plan.Revision != 2 || plan.Generation != 5 || !bytes.Equal(plan.Value.Rules, next) {
		t.Fatal("after a restart: ", plan.Revision, plan.Generation)
	}
	dispatchTo(t, again, messages.KindPlanPull, &messages.PlanRequest{Node: "n3"}, plan)
	if len(plan.Placements) != 1 || plan.Placements[0].Adapter != "battery-fault-reader" || len(plan.Value.Rules) != 0 {
		t.Fatal(plan)
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("after a restart the configuration is ", status, body)
	}
}

// TestNamedBallotsAreTheirOwn: a high ballot in one register stops nobody in another.
func TestNamedRegistersHaveSeparateBallots(t *testing.T) {
	controller, server := open(t, t.TempDir(), true)
	identity := controller.assignments.Replica().Identity()
	high := register.NewBallot(1<<40, "other", "disk", 1)
	resp := &messages.PrepareResponse{}
	dispatchTo(t, controller, messages.KindNamedPrepare, &messages.NamedPrepareRequest{Name: assignmentserver.RegisterName, Request: messages.PrepareRequest{Ballot: high, Disk: identity.Disk}}, resp)
	if !resp.Granted {
		t.Fatal("not granted")
	}
	if before := controller.Register.Record().Promised; before.Counter >= 1<<40 {
		t.Fatal("the configuration's ballot moved: ", before)
	}
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatal(status)
	}
	body, _ := (&messages.NamedPrepareRequest{Name: "nobody's"}).MarshalMsg(nil)
	if _, err := controller.Node.Dispatch(messages.KindNamedPrepare, body); err == nil {
		t.Fatal("a register that nobody keeps promised something")
	}
}
