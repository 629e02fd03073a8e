package explore

import (
	"sync"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// valueID is the index of a value in a valueTable.
type valueID int32

// valueTable stores all register values of an exploration, so that states store small numbers
// in place of values. Values in it are never changed.
type valueTable struct {
	lock  sync.RWMutex
	list  []messages.RegisterValue
	index map[string]valueID
}

func newValues() *valueTable { return &valueTable{index: map[string]valueID{}} }

func (v *valueTable) id(value *messages.RegisterValue) valueID {
	text, err := value.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	v.lock.Lock()
	defer v.lock.Unlock()
	id, known := v.index[string(text)]
	if !known {
		id = valueID(len(v.list))
		v.list = append(v.list, *value)
		v.index[string(text)] = id
	}
	return id
}

func (v *valueTable) value(id valueID) *messages.RegisterValue {
	v.lock.RLock()
	defer v.lock.RUnlock()
	return &v.list[id]
}

// setsOnly returns a value with only the sets of another one. A proposer uses nothing else of
// the newest value that it knows.
func setsOnly(value *messages.RegisterValue) messages.RegisterValue {
	return messages.RegisterValue{Acceptors: value.Acceptors, Previous: value.Previous, SetEpoch: value.SetEpoch}
}

// versions returns the versions in a value, oldest first.
func versions(value *messages.RegisterValue) []messages.Version {
	if value.Current.Generation == 0 {
		return nil
	}
	return append(append([]messages.Version{}, value.History...), value.Current)
}

// follows reports whether a value was built on another one: it contains all versions of the
// earlier one in the same order, and its sets are the same or newer.
func follows(later, earlier *messages.RegisterValue) bool {
	laterVersions, earlierVersions := versions(later), versions(earlier)
	if len(laterVersions) < len(earlierVersions) || later.SetEpoch < earlier.SetEpoch {
		return false
	}
	for i := range earlierVersions {
		if laterVersions[i] != earlierVersions[i] {
			return false
		}
	}
	return later.SetEpoch > earlier.SetEpoch || sameSets(later, earlier)
}

func sameSets(left, right *messages.RegisterValue) bool {
	return sameMembers(left.Acceptors, right.Acceptors) && sameMembers(left.Previous, right.Previous)
}

func sameMembers(left, right []messages.Member) bool {
	if len(left) != len(right) {
		return false
	}
	for i := range left {
		if register.Identity(left[i]) != register.Identity(right[i]) {
			return false
		}
	}
	return true
}
