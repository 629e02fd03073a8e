package leader

import (
	"strings"

	"lemonarch/internal/control/register"
)

// waitLog writes a line each time that those change whom a term waits for.
type waitLog struct {
	term    *Term
	message string
	last    string
}

func (t *Term) newWaitLog(message string) *waitLog { return &waitLog{term: t, message: message} }

// report names the members of the set for which ready says that they are, and those that are
// waited for.
func (w *waitLog) report(ready func(identity string) bool) {
	t := w.term
	t.lock.Lock()
	members := t.records.replicator.Members
	t.lock.Unlock()
	var complete, missing []string
	for _, member := range members {
		if ready(register.Identity(member)) {
			complete = append(complete, member.Name)
		} else {
			missing = append(missing, member.Name)
		}
	}
	names := strings.Join(missing, ",")
	if names == w.last {
		return
	}
	w.last = names
	t.process.Node.Log.Info(w.message, "epoch", t.leadership.Epoch, "ready", strings.Join(complete, ","), "missing", names)
}

// membersWith gives the test of which members have synced all up to an index.
func (t *Term) membersWith(index int64) func(identity string) bool {
	return func(identity string) bool {
		t.lock.Lock()
		defer t.lock.Unlock()
		return t.records.replicator.MatchIndex(identity) >= index
	}
}
