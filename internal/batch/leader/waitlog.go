package leader

import (
	"strings"

	"lemonarch/internal/control/register"
)

// waitLog logs the members that a term is waiting for, each time they change.
type waitLog struct {
	term    *Term
	message string
	// lastMissing is the list of missing members in the last line.
	lastMissing string
}

func (t *Term) newWaitLog(message string) *waitLog { return &waitLog{term: t, message: message} }

// report logs the members of the set for which ready returns true, and the missing ones. It logs
// nothing if the missing members are the same as in the last line.
func (w *waitLog) report(ready func(identity string) bool) {
	t := w.term
	t.lock.Lock()
	members := t.records.replicator.Members
	t.lock.Unlock()
	var readyMembers, missing []string
	for _, member := range members {
		if ready(register.Identity(member)) {
			readyMembers = append(readyMembers, member.Name)
		} else {
			missing = append(missing, member.Name)
		}
	}
	missingNames := strings.Join(missing, ",")
	if missingNames == w.lastMissing {
		return
	}
	w.lastMissing = missingNames
	t.process.Node.Log.Info(w.message, "epoch", t.leadership.Epoch, "ready", strings.Join(readyMembers, ","), "missing", missingNames)
}

// membersWith returns a function that reports whether a member has synced all records up to an
// index.
func (t *Term) membersWith(index int64) func(identity string) bool {
	return func(identity string) bool {
		t.lock.Lock()
		defer t.lock.Unlock()
		return t.records.replicator.MatchIndex(identity) >= index
	}
}
