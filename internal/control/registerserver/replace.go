package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Replace puts a version in force on top of its base, and tells what came of it. A
// version that was taken before is acknowledged again, however many followed it.
// Where nobody in reach can tell whether an old version was taken, the error is
// register.Unclear: it must not be refused.
func (r *Replica) Replace(version messages.Version, body []byte) (messages.RegisterValue, register.Result, error) {
	var result register.Result
	value, err := r.Change(register.Replace(version, body, &result))
	if err != nil || result != register.ResultNeedsArchive {
		return value, result, err
	}
	switch r.seek(&value, version) {
	case messages.VersionCommitted:
		return value, register.ResultAlreadyApplied, nil
	case messages.VersionNeverCommitted:
		return value, register.CheckSuccessor(value.Current, version), nil
	default:
		return value, result, register.ErrOutcomeUnknown.New("no archive in reach tells whether the version was taken")
	}
}

// seek asks this process's archive and then those of the acceptors.
func (r *Replica) seek(value *messages.RegisterValue, version messages.Version) messages.VersionStatus {
	req := &messages.ArchiveRequest{Head: value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
	if sought := r.archive.lookup(req).Status; sought != messages.VersionUnknown {
		return sought
	}
	for _, member := range register.Targets(value) {
		if member.Address == r.Node.Self.Address {
			continue
		}
		if resp := r.requestArchive(member, req); resp != nil && resp.Status != messages.VersionUnknown {
			return resp.Status
		}
	}
	return messages.VersionUnknown
}
