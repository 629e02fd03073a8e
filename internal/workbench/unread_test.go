package workbench

import "testing"

// A try that ends before its first event gives back what it had the worker read:
// else the worker looks busy for ever, and no item is placed there any more.
func TestEndGivesBackUnread(test *testing.T) {
	for _, outcome := range []Outcome{OutcomeServed, OutcomeFailed, OutcomeTurnedAway, OutcomeCalledOff} {
		one := bench(test, 4, "w")
		question := ask(0)
		question.Affine = true
		question.Prompt.Tokens = 700
		answer, _ := one.Admit(question, nil, 2)
		if answer.Verdict != VerdictGranted {
			test.Fatal(answer.Verdict)
		}
		vitals := one.Gauge.Of("w")
		if vitals.Unread() != 1 || vitals.Pending() != int64(answer.Grant.Fresh) {
			test.Fatal(vitals.Unread(), vitals.Pending())
		}
		answer.Grant.End(outcome, 3)
		if vitals.Unread() != 0 || vitals.Pending() != 0 {
			test.Fatal(outcome, vitals.Unread(), vitals.Pending())
		}
	}
}
