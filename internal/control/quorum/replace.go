package quorum

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Replace puts a version in force on top of its base, and tells what came of it. A
// version that was taken before is acknowledged again, however many followed it.
// Where nobody in reach can tell whether an old version was taken, the error is
// register.Unclear: it must not be refused.
func (r *Register) Replace(version messages.Version, body []byte) (messages.Register, register.Result, error) {
	var result register.Result
	value, err := r.Change(register.Replace(version, body, &result))
	if err != nil || result != register.ResultArchived {
		return value, result, err
	}
	switch r.seek(&value, version) {
	case messages.SoughtTaken:
		return value, register.ResultAlready, nil
	case messages.SoughtNever:
		return value, register.Refusal(value.Current, version), nil
	default:
		return value, result, register.Unclear.New("no archive in reach tells whether the version was taken")
	}
}

// seek asks this process's archive and then those of the acceptors.
func (r *Register) seek(value *messages.Register, version messages.Version) messages.Sought {
	question := &messages.ArchiveQuestion{Head: value.Archive, Generation: version.Generation, Print: register.Print(version)}
	if sought := r.archive.answer(question).Sought; sought != messages.SoughtUnknown {
		return sought
	}
	for _, member := range register.Targets(value) {
		if member.Address == r.Runtime.Own.Address {
			continue
		}
		if answer := r.askArchive(member, question); answer != nil && answer.Sought != messages.SoughtUnknown {
			return answer.Sought
		}
	}
	return messages.SoughtUnknown
}
