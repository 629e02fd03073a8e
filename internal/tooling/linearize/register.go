package linearize

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"

	"lemonarch/internal/platform/messages"
)

// RegisterCall is an operator's call: a version to be applied, or a read if the version has no
// generation.
type RegisterCall struct {
	Version messages.Version
}

// RegisterOutcome is the kind of response to a RegisterCall.
type RegisterOutcome int

// The outcomes of a RegisterCall.
const (
	// RegisterUnclear means that there was no response, or one that does not state the outcome.
	RegisterUnclear RegisterOutcome = iota
	// RegisterApplied means that the version is or was in force.
	RegisterApplied
	// RegisterConflict means that a version other than the base is in force, and that the
	// proposed version never was and never will be.
	RegisterConflict
	// RegisterGenerationTooOld means that the generation is not above that in force.
	RegisterGenerationTooOld
	// RegisterRead means that the response contains the version in force.
	RegisterRead
)

// RegisterReply is the response to a RegisterCall.
type RegisterReply struct {
	Outcome RegisterOutcome
	// Found is the version that a read returned.
	Found messages.Version
}

// Unclear reports whether nothing is known of the outcome.
func (r RegisterReply) Unclear() bool { return r.Outcome == RegisterUnclear }

// chain is the state of the sequential register: the applied versions, oldest first, each as
// its name and a line feed.
type chain string

func versionName(version messages.Version) string {
	return fmt.Sprintf("%d on %d %s\n", version.Generation, version.Base, version.Hash)
}

func (c chain) contains(version messages.Version) bool {
	return strings.HasPrefix(string(c), versionName(version)) || strings.Contains(string(c), "\n"+versionName(version))
}

// current returns the name of the version in force and its generation.
func (c chain) current() (string, int64) {
	if c == "" {
		return "", 0
	}
	start := strings.LastIndexByte(string(c[:len(c)-1]), '\n') + 1
	var generation int64
	// A line that does not start with a number counts as generation 0.
	_, _ = fmt.Sscan(string(c[start:]), &generation)
	return string(c[start:]), generation
}

// RegisterModel returns the sequential model of a compare-and-set register that remembers each
// applied version for ever.
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
