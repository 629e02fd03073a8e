package workeremulator

import "lemonarch/internal/platform/clock"

// Faults are the faults of one worker, each of which can be switched on and off. A share is the
// fraction of the requests that a fault affects, from 0 to 1.
type Faults struct {
	// Fail is the share of requests that receive a 500 instead of the response. The run has begun
	// by then and is recorded.
	Fail float64 `toml:"fail" json:"fail,omitempty"`
	// Full is the share of requests that are rejected although there is capacity.
	Full float64 `toml:"full" json:"full,omitempty"`
	// Hang is the share of requests for which nothing more is sent while the connection stays
	// open.
	Hang float64 `toml:"hang" json:"hang,omitempty"`
	// Cut is the share of responses that are cut off in the middle.
	Cut float64 `toml:"cut" json:"cut,omitempty"`
	// Garble is the share of requests that receive bytes which are not a valid response.
	Garble float64 `toml:"garble" json:"garble,omitempty"`
	// Surplus is the share of responses that are followed by a second response on the same
	// connection.
	Surplus float64 `toml:"surplus" json:"surplus,omitempty"`
	// Twice is the share of runs that the worker records once too often. It corrupts the record
	// deliberately, to show that the load generator's check detects this.
	Twice float64 `toml:"twice" json:"twice,omitempty"`
	// Skip is the share of streams in which one event is left out, for the same purpose.
	Skip float64 `toml:"skip" json:"skip,omitempty"`
	// Forge is the share of responses whose seal is that of another attempt, for the same
	// purpose.
	Forge float64 `toml:"forge" json:"forge,omitempty"`
	// Never is the share of requests that receive a 422 because they can never be done. These
	// are the same requests at every worker.
	Never float64 `toml:"never" json:"never,omitempty"`
	// LateMs is the delay before each response, in ms.
	LateMs float64 `toml:"late-ms" json:"late-ms,omitempty"`
	// Slow is the factor by which steps take longer; 0 means normal speed.
	Slow float64 `toml:"slow" json:"slow,omitempty"`
	// Lying inverts the result of health checks.
	Lying bool `toml:"lying" json:"lying,omitempty"`
	// ForgetMs is the time after which an idle connection is silently forgotten, in ms; 0 means
	// never. Bytes that arrive on it afterwards cause a reset.
	ForgetMs float64 `toml:"forget-ms" json:"forget-ms,omitempty"`
}

func (f *Faults) lateBy() clock.Duration      { return clock.Milliseconds(f.LateMs) }
func (f *Faults) forgetAfter() clock.Duration { return clock.Milliseconds(f.ForgetMs) }

// Check returns a finding for each invalid value, in no particular order.
func (f *Faults) Check() []string {
	var findings []string
	for name, share := range map[string]float64{"fail": f.Fail, "full": f.Full, "hang": f.Hang, "cut": f.Cut,
		"garble": f.Garble, "surplus": f.Surplus, "twice": f.Twice, "skip": f.Skip, "forge": f.Forge, "never": f.Never} {
		if !(share >= 0 && share <= 1) {
			findings = append(findings, name+" must lie between 0 and 1")
		}
	}
	for name, value := range map[string]float64{"late-ms": f.LateMs, "slow": f.Slow, "forget-ms": f.ForgetMs} {
		if !(value >= 0) {
			findings = append(findings, name+" must not be below 0")
		}
	}
	return findings
}
