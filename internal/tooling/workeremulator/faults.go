package workeremulator

import "lemonarch/internal/platform/clock"

// Faults are the troubles of one worker that can be switched on and off. A share is
// the part of the requests, from 0 to 1, that it concerns.
type Faults struct {
	// Fail: a 500 comes instead of an answer, after the run.
	Fail float64 `toml:"fail" json:"fail,omitempty"`
	// Full: turned away although there is room.
	Full float64 `toml:"full" json:"full,omitempty"`
	// Hang: nothing more comes, and the connection stays.
	Hang float64 `toml:"hang" json:"hang,omitempty"`
	// Cut: the answer breaks off in its midst.
	Cut float64 `toml:"cut" json:"cut,omitempty"`
	// Garble: bytes come that form no answer.
	Garble float64 `toml:"garble" json:"garble,omitempty"`
	// Surplus: a second answer follows a whole one on the same connection.
	Surplus float64 `toml:"surplus" json:"surplus,omitempty"`
	// Twice: the worker claims one run more than there was. It breaks the record on
	// purpose, so that the check of the load can be seen to catch it.
	Twice float64 `toml:"twice" json:"twice,omitempty"`
	// Skip: one event of a stream is left out, for the same purpose.
	Skip float64 `toml:"skip" json:"skip,omitempty"`
	// Forge: the stamp is another's, for the same purpose.
	Forge float64 `toml:"forge" json:"forge,omitempty"`
	// Never: a 422, for the same requests at every worker: they can never be done.
	Never float64 `toml:"never" json:"never,omitempty"`
	// LateMs: each answer begins so much later.
	LateMs float64 `toml:"late-ms" json:"late-ms,omitempty"`
	// Slow: steps take so many times as long; 0 is as usual.
	Slow float64 `toml:"slow" json:"slow,omitempty"`
	// Lying: health answers say the contrary.
	Lying bool `toml:"lying" json:"lying,omitempty"`
	// ForgetMs: an idle connection is forgotten after it, without a word; what comes
	// on it next meets a reset.
	ForgetMs float64 `toml:"forget-ms" json:"forget-ms,omitempty"`
}

func (f *Faults) lateBy() clock.Duration      { return clock.Milliseconds(f.LateMs) }
func (f *Faults) forgetAfter() clock.Duration { return clock.Milliseconds(f.ForgetMs) }

// Check lists senseless values.
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
