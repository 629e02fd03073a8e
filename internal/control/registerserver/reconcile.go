package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// ReconcileSet maintains the acceptor set. If the known sets require a change, it reads the value
// in force and proposes the change that this value requires. It reports whether the set was
// changed. The caller fills in what it knows of other processes; Own and JointRecent are filled in
// here.
func (r *Replica) ReconcileSet(reconciler register.SetReconciler) (value messages.RegisterValue, changed bool, err error) {
	if !r.NeedsReconcile(reconciler) {
		return messages.RegisterValue{}, false, nil
	}
	current, err := r.readWithBackoff()
	if err != nil || current == nil {
		return messages.RegisterValue{}, false, err
	}
	reconciler.Own, reconciler.JointRecent = r.Identity(), r.JointRecent()
	change := reconciler.NextChange(*current)
	if change == nil {
		return *current, false, nil
	}
	if value, err = r.Change(change); err != nil {
		return value, false, err
	}
	if len(value.Previous) > 0 {
		value, err = r.Change(register.EndJoint)
	}
	return value, err == nil && value.SetEpoch != current.SetEpoch, err
}

// NeedsReconcile reports whether there is a reason to read the value in force, and perhaps to
// change the set.
func (r *Replica) NeedsReconcile(reconciler register.SetReconciler) bool {
	reconciler.Own = r.Identity()
	accepted := r.Record().Value
	known, chosen := r.Chosen()
	// What this acceptor has accepted may be an incomplete set change.
	return !chosen || accepted.SetEpoch > known.SetEpoch || reconciler.NextChange(known) != nil
}

// readWithBackoff reads without a ballot if that is decisive. If not, a change may be in progress:
// it retries after constants.ReconcileBackoff, and then reads by a proposal only with the
// probability constants.ReconcileProbability, so that not all processes propose at once; the others
// return nil and retry at their next call.
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
