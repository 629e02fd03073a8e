package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ReconcileSet looks after the acceptor set: where the sets known here ask for a step, it reads
// the value in force and proposes the step that this one asks for. It tells whether the
// set was changed. The caller gives what it knows of other processes; Own and Fresh are
// filled in here.
func (r *Replica) ReconcileSet(tending register.SetReconciler) (value messages.RegisterValue, changed bool, err error) {
	if !r.NeedsReconcile(tending) {
		return messages.RegisterValue{}, false, nil
	}
	seen, err := r.readWithBackoff()
	if err != nil || seen == nil {
		return messages.RegisterValue{}, false, err
	}
	tending.Own, tending.JointRecent = r.Identity(), r.JointRecent()
	change := tending.NextChange(*seen)
	if change == nil {
		return *seen, false, nil
	}
	if value, err = r.Change(change); err != nil {
		return value, false, err
	}
	if len(value.Previous) > 0 {
		value, err = r.Change(register.EndJoint)
	}
	return value, err == nil && value.SetEpoch != seen.SetEpoch, err
}

// NeedsReconcile tells whether there is reason to read the value in force, and perhaps to
// take a step.
func (r *Replica) NeedsReconcile(tending register.SetReconciler) bool {
	tending.Own = r.Identity()
	accepted := r.Record().Value
	known, chosen := r.Chosen()
	// What this acceptor accepted may be a change of the set that was left half done.
	return !chosen || accepted.SetEpoch > known.SetEpoch || tending.NextChange(known) != nil
}

// readWithBackoff reads without a ballot where it can. Where it can't, a change may be under
// way: it looks once more a little later, and then only some of those who ask propose,
// while the others come again.
func (r *Replica) readWithBackoff() (*messages.RegisterValue, error) {
	if value := r.quickRead(true); value != nil {
		return value, nil
	}
	clock.Sleep(constants.ReconcileBackoff)
	if value := r.quickRead(true); value != nil {
		return value, nil
	}
	if clock.Float64() >= constants.ReconcileProbability {
		return nil, nil
	}
	value, err := r.Change(register.ReadOnly)
	if err != nil {
		return nil, err
	}
	return &value, nil
}
