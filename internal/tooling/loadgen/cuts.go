package loadgen

import (
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// checkCuts finds the attempts that ran at a worker although their connection ended before a
// complete response. Planned work must not cause this. An attempt that was sent while the other
// side closed its connection was not forwarded to a worker, and is no finding.
func checkCuts(attempts map[string]*sentAttempt, runs []workeremulator.Run, stops []lab.GatewayStop) []Finding {
	var findings []Finding
	reported := map[string]bool{}
	for _, run := range runs {
		sent := attempts[run.Attempt]
		if sent == nil || !sent.cut || reported[run.Attempt] || outlastedGrace(sent, stops) {
			continue
		}
		reported[run.Attempt] = true
		findings = append(findings, Finding{"LOST", run.Attempt, "ran at " + run.Worker + ", but its connection ended before a complete response" + sinceStop(sent, stops)})
	}
	return findings
}

// outlastedGrace reports whether an attempt may be cut because a stop of its gateway leaves it no more
// time: it was sent at most CutSentLimit after the SIGTERM, and cut in the last sixth of the grace time
// (NEWS-22, LOST).
func outlastedGrace(sent *sentAttempt, stops []lab.GatewayStop) bool {
	for _, stop := range stops {
		grace := clock.Milliseconds(stop.GraceS * 1000)
		sentAfter, cutAfter := sent.after(stop)
		if stop.Ingress == sent.node && sentAfter <= constants.CutSentLimit && cutAfter >= grace*5/6 && cutAfter <= grace+time.Second {
			return true
		}
	}
	return false
}

// after returns how long after a stop an attempt was sent, and cut.
func (s *sentAttempt) after(stop lab.GatewayStop) (sentAfter, cutAfter clock.Duration) {
	return clock.Duration(s.sentNanos - stop.AtNanos), clock.Duration(s.cutNanos - stop.AtNanos)
}

// stopOf returns the stop of its gateway during which an attempt was sent, or nil.
func stopOf(sent *sentAttempt, stops []lab.GatewayStop) *lab.GatewayStop {
	for i := range stops {
		exited := stops[i].ExitNanos > 0 && sent.sentNanos >= stops[i].ExitNanos
		if sentAfter, _ := sent.after(stops[i]); stops[i].Ingress == sent.node && sentAfter > 0 && !exited {
			return &stops[i]
		}
	}
	return nil
}

// checkLateRuns finds the attempts that ran at a worker although they were sent later than CutSentLimit after
// the SIGTERM of their gateway. A gateway begins no request that late: from then on it has to complete
// whatever it has begun, and its own end is too near.
func checkLateRuns(attempts map[string]*sentAttempt, runs []workeremulator.Run, stops []lab.GatewayStop) []Finding {
	var findings []Finding
	for _, run := range runs {
		sent := attempts[run.Attempt]
		if sent == nil {
			continue
		}
		stop := stopOf(sent, stops)
		if stop == nil {
			continue
		}
		if sentAfter, _ := sent.after(*stop); sentAfter > constants.CutSentLimit {
			findings = append(findings, Finding{"LATE", run.Attempt, "ran at " + run.Worker + ", but was sent " + sentAfter.Round(time.Millisecond).String() + " after the SIGTERM of its gateway"})
		}
	}
	return findings
}

// sinceStop says when an attempt was sent and cut, if that was during a stop of its gateway.
func sinceStop(sent *sentAttempt, stops []lab.GatewayStop) string {
	stop := stopOf(sent, stops)
	if stop == nil {
		return ""
	}
	sentAfter, cutAfter := sent.after(*stop)
	return "; sent " + sentAfter.Round(time.Millisecond).String() + " and cut " + cutAfter.Round(time.Millisecond).String() + " after the SIGTERM of its gateway"
}

// countDraining counts the attempts that were sent to a gateway between its SIGTERM and its exit, those of
// them sent after it accepts no more connections, and those that were refused.
func (r *Result) countDraining(attempts map[string]*sentAttempt, stops []lab.GatewayStop) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.GatewayStops = len(stops)
	for _, sent := range attempts {
		stop := stopOf(sent, stops)
		if stop == nil {
			continue
		}
		r.Draining.Sent++
		if sentAfter, _ := sent.after(*stop); sentAfter > constants.DrainAcceptTime {
			r.Draining.Late++
		}
		if sent.notExecuted {
			r.Draining.Refused++
		}
	}
}
