package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// Replace puts a version in force on top of its base, and returns the outcome. A version that was
// committed before is acknowledged again, however many versions followed it. If no reachable
// archive can decide whether an old version was committed, the error is register.ErrOutcomeUnknown,
// because the request must not be rejected.
func (r *Replica) Replace(version messages.Version, body []byte) (messages.RegisterValue, register.Result, error) {
	var result register.Result
	value, err := r.Change(register.Replace(version, body, &result))
	if err != nil || result != register.ResultNeedsArchive {
		return value, result, err
	}
	switch r.lookupArchived(&value, version) {
	case messages.VersionCommitted:
		return value, register.ResultAlreadyApplied, nil
	case messages.VersionNeverCommitted:
		return value, register.CheckSuccessor(value.Current, version), nil
	default:
		return value, result, register.ErrOutcomeUnknown.New("no archive in reach tells whether the version was taken")
	}
}

// lookupArchived returns the status of a version from this process's archive or, if that does not
// know it, from those of the other acceptors.
func (r *Replica) lookupArchived(value *messages.RegisterValue, version messages.Version) messages.VersionStatus {
	req := &messages.ArchiveRequest{Head: value.Archive, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
	if status := r.archive.lookup(req).Status; status != messages.VersionUnknown {
		return status
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
