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

// dispatchTo sends a request to a controller as the transport would.
func dispatchTo(t *testing.T, controller *Controller, kind messages.Kind, req transport.Marshaler, resp transport.Unmarshaler) {
	t.Helper()

	body, _ := req.MarshalMsg(nil)
	text, err := controller.Node.Dispatch(kind, body)
	if err != nil {
		t.Fatalf("request of kind %v failed: %v", kind, err)
	}
	if err = transport.Decode(text, resp); err != nil {
		t.Fatalf("failed to decode the response to a request of kind %v: %v", kind, err)
	}
}

// rulesAndSolution returns the rules of docs/assign, with replacements, and the planner's solution for them.
func rulesAndSolution(t *testing.T, change ...string) (rules, solution []byte) {
	t.Helper()

	text, err := os.ReadFile("../../../docs/assign/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer(change...).Replace(string(text))
	parsed, findings := adapterplan.Read([]byte(changed))
	if len(findings) > 0 {
		t.Fatalf("the rules of docs/assign with %q replaced have findings: %v", change, findings)
	}
	plan, _, _, _ := adapterplan.Plan(parsed, nil, nil)
	body := &bytes.Buffer{}
	_ = adapterplan.JSON(body, plan)
	return []byte(changed), body.Bytes()
}

// TestPlansAreAppliedByTheRulesOfConfigurations checks, with a real disk, that the rules of PROTOCOL for
// changes of the configuration also apply to assignments, and that their register shares no state with
// that of the configuration.
func TestPlansAreAppliedByTheRulesOfConfigurations(t *testing.T) {
	folder := t.TempDir()
	controller, server := open(t, folder, true)
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatalf("replacing the configuration: got status %d, want 200", status)
	}
	rules, solution := rulesAndSolution(t)
	next, nextSolution := rulesAndSolution(t, "generation = 4", "generation = 5")
	for _, step := range []struct {
		name     string
		request  messages.PlanApplyRequest
		applied  bool
		revision int64
		reason   string
	}{
		{"wrong base", messages.PlanApplyRequest{Base: 3, Rules: rules, Solution: solution}, false, 0, "another plan"},
		{"first", messages.PlanApplyRequest{Base: 0, Rules: rules, Solution: solution}, true, 1, ""},
		{"resent", messages.PlanApplyRequest{Base: 0, Rules: rules, Solution: solution}, true, 1, "in force already"},
		{"lost its race", messages.PlanApplyRequest{Base: 0, Rules: next, Solution: nextSolution}, false, 1, "another plan"},
		{"solution of other rules", messages.PlanApplyRequest{Base: 1, Rules: next, Solution: solution}, false, 1, "another generation"},
		{"old generation", messages.PlanApplyRequest{Base: 1, Rules: append([]byte("# older\n"), rules...), Solution: solution}, false, 1, "generation is not above"},
		{"too large", messages.PlanApplyRequest{Base: 1, Rules: append(bytes.Repeat([]byte("# long\n"), constants.PlanBytesMax/7), next...), Solution: nextSolution}, false, 1, "too large"},
		{"next", messages.PlanApplyRequest{Base: 1, Rules: next, Solution: nextSolution}, true, 2, ""},
	} {
		response := &messages.PlanApplyResponse{}
		dispatchTo(t, controller, messages.KindPlanApply, &step.request, response)
		for attempts := 0; response.Unclear && attempts < 20; attempts++ {
			// The outcome is unknown if the disk syncs too slowly. A retry of the same request resolves it.
			dispatchTo(t, controller, messages.KindPlanApply, &step.request, response)
		}
		if response.Applied != step.applied || response.Unclear || !strings.Contains(response.Reason, step.reason) || (step.revision > 0 && response.Revision > 0 && response.Revision != step.revision) {
			t.Errorf("%s: got response %+v, want applied %v, revision %d and a reason with %q", step.name, response, step.applied, step.revision, step.reason)
		}
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("the configuration changed: ", status, body)
	}
	restarted, server := open(t, folder, false)
	plan := &messages.PlanResponse{}
	dispatchTo(t, restarted, messages.KindPlanPull, &messages.PlanRequest{Complete: true, Linearizable: true}, plan)
	if plan.Revision != 2 || plan.Generation != 5 || !bytes.Equal(plan.Value.Rules, next) {
		t.Fatalf("plan after a restart: got revision %d and generation %d, want 2 and 5 with the rules applied last", plan.Revision, plan.Generation)
	}
	dispatchTo(t, restarted, messages.KindPlanPull, &messages.PlanRequest{Node: "n3"}, plan)
	if len(plan.Placements) != 1 || plan.Placements[0].Adapter != "battery-fault-reader" || len(plan.Value.Rules) != 0 {
		t.Fatalf("plan of node n3: got %+v, want only the placement of battery-fault-reader, without rules", plan)
	}
	if status, body := clearCall(t, server, "GET", "/-/Configuration.Read", "", ""); status != 200 || body != config(2) {
		t.Fatal("wrong configuration after a restart: ", status, body)
	}
}

// TestNamedRegistersHaveSeparateBallots checks that a high ballot in one register does not block proposers in
// another.
func TestNamedRegistersHaveSeparateBallots(t *testing.T) {
	controller, server := open(t, t.TempDir(), true)
	identity := controller.assignments.Replica().Identity()
	high := register.NewBallot(1<<40, "other", "disk", 1)
	resp := &messages.PrepareResponse{}
	dispatchTo(t, controller, messages.KindNamedPrepare, &messages.NamedPrepareRequest{Name: assignmentserver.RegisterName, Request: messages.PrepareRequest{Ballot: high, Disk: identity.Disk}}, resp)
	if !resp.Granted {
		t.Fatal("prepare with a high ballot was not granted")
	}
	if before := controller.Register.Record().Promised; before.Counter >= 1<<40 {
		t.Fatal("the promised ballot of the configuration's register changed: ", before)
	}
	if status, _ := clearCall(t, server, "POST", "/-/Configuration.Replace", "0", config(2)); status != 200 {
		t.Fatalf("replacing the configuration after a high ballot in the other register: got status %d, want 200", status)
	}
	body, _ := (&messages.NamedPrepareRequest{Name: "nobody's"}).MarshalMsg(nil)
	if _, err := controller.Node.Dispatch(messages.KindNamedPrepare, body); err == nil {
		t.Fatal("prepare for a register with an unknown name succeeded")
	}
}
