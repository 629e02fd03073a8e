package admission

import "testing"

// A try that ends before its first event gives back what it had the worker read:
// else the worker looks busy for ever, and no item is placed there any more.
func TestEndReleasesPendingPrefill(t *testing.T) {
	for _, result := range []Result{ResultServed, ResultFailed, ResultRejected, ResultCanceled} {
		entry := newScheduler(t, 4, "w")
		question := newRequest(0)
		question.Affine = true
		question.Prompt.Tokens = 700
		decision, _ := entry.Admit(question, nil, 2)
		if decision.Verdict != VerdictGranted {
			t.Fatal(decision.Verdict)
		}
		health := entry.Tracker.Of("w")
		if health.PendingPrefills() != 1 || health.PendingTokens() != int64(decision.Grant.FreshTokens) {
			t.Fatal(health.PendingPrefills(), health.PendingTokens())
		}
		decision.Grant.End(result, 3)
		if health.PendingPrefills() != 0 || health.PendingTokens() != 0 {
			t.Fatal(result, health.PendingPrefills(), health.PendingTokens())
		}
	}
}
