package admission

import "testing"

// A request that ends before its first event releases the prefill it had pending at the worker.
// Otherwise the worker would appear busy forever, and no item would be placed there any more.
func TestEndReleasesPendingPrefill(t *testing.T) {
	for _, result := range []Result{ResultServed, ResultFailed, ResultRejected, ResultCanceled} {
		scheduler := newScheduler(t, 4, "w")
		req := newRequest(0)
		req.Affine = true
		req.Prompt.Tokens = 700
		decision, _ := scheduler.Admit(req, nil, 2)
		if decision.Verdict != VerdictGranted {
			t.Fatalf("verdict %d, want the request granted", decision.Verdict)
		}
		health := scheduler.Tracker.HealthOf("w")
		if health.PendingPrefills() != 1 || health.PendingTokens() != int64(decision.Grant.FreshTokens) {
			t.Fatalf("%d prefills and %d tokens pending after one request was placed, want 1 and %d",
				health.PendingPrefills(), health.PendingTokens(), decision.Grant.FreshTokens)
		}
		decision.Grant.End(result, 3)
		if health.PendingPrefills() != 0 || health.PendingTokens() != 0 {
			t.Fatalf("result %d: %d prefills and %d tokens pending after the end, want none", result, health.PendingPrefills(), health.PendingTokens())
		}
	}
}
