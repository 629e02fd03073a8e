package linearize

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"lemonarch/internal/platform/messages"
)

// RegisterCall is an operator's call: a version to be put in force, or a read where it
// has no generation.
type RegisterCall struct {
	Version messages.Version
}

// RegisterOutcome is the kind of answer to a RegisterCall.
type RegisterOutcome int

// The outcomes.
const (
	// RegisterUnclear: no answer, or one that says nothing.
	RegisterUnclear RegisterOutcome = iota
	// RegisterTaken: the version is or was in force.
	RegisterApplied
	// RegisterOther: another version than the base is in force, and the version
	// never was and never will be.
	RegisterConflict
	// RegisterOld: the generation is not above that in force.
	RegisterGenerationTooOld
	// RegisterRead: the version in force is told.
	RegisterRead
)

// RegisterReply is the answer to a RegisterCall.
type RegisterReply struct {
	Outcome RegisterOutcome
	// Found is the version that a read told.
	Found messages.Version
}

// Unclear says that nothing is known of the outcome.
func (r RegisterReply) Unclear() bool { return r.Outcome == RegisterUnclear }

// chain is the state of the sequential register: the versions taken, oldest first, each
// as its name and a line feed.
type chain string

func versionName(version messages.Version) string {
	return fmt.Sprintf("%d on %d %s\n", version.Generation, version.Base, version.Hash)
}

func (c chain) contains(version messages.Version) bool {
	return strings.HasPrefix(string(c), versionName(version)) || strings.Contains(string(c), "\n"+versionName(version))
}

// current is the name of the version in force, and its generation.
func (c chain) current() (string, int64) {
	if c == "" {
		return "", 0
	}
	start := strings.LastIndexByte(string(c[:len(c)-1]), '\n') + 1
	var generation int64
	// A line that is no number is generation 0.
	_, _ = fmt.Sscan(string(c[start:]), &generation)
	return string(c[start:]), generation
}

// RegisterModel is a compare-and-set register whose versions are known for ever once
// they were taken.
func RegisterModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{chain("")} },
		Step: func(state, input, output any) []any {
			return stepRegister(state.(chain), input.(RegisterCall).Version, output.(RegisterReply))
		},
		DescribeOperation: func(input, output any) string {
			call, reply := input.(RegisterCall), output.(RegisterReply)
			if call.Version.Generation == 0 {
				return fmt.Sprintf("read: outcome %d, %v", reply.Outcome, reply.Found)
			}
			return fmt.Sprintf("replace %v: outcome %d", call.Version, reply.Outcome)
		},
	}
	return model.ToModel()
}

func stepRegister(versions chain, version messages.Version, reply RegisterReply) []any {
	name, generation := versions.current()
	if version.Generation == 0 {
		matches := reply.Found.Generation == 0 && name == "" || versionName(reply.Found) == name
		if reply.Unclear() || matches {
			return []any{versions}
		}
		return nil
	}
	known := versions.contains(version)
	fits := version.Base == generation && version.Generation > generation
	next := versions + chain(versionName(version))
	switch {
	case reply.Outcome == RegisterApplied && known:
		return []any{versions}
	case reply.Outcome == RegisterApplied && fits:
		return []any{next}
	case reply.Outcome == RegisterConflict && !known && version.Base != generation:
		return []any{versions}
	case reply.Outcome == RegisterGenerationTooOld && !known && version.Generation <= generation:
		return []any{versions}
	case reply.Unclear() && !known && fits:
		return []any{versions, next}
	case reply.Unclear():
		return []any{versions}
	}
	return nil
}
