package leader

// chanMutex is a mutex for a section that waits for other machines. It is separate from the lock that
// guards the state, so that goroutines waiting for the section do not block that lock.
type chanMutex chan struct{}

func newChanMutex() chanMutex { return make(chanMutex, 1) }

// Lock waits until the mutex is unlocked, and locks it.
func (m chanMutex) Lock() { m <- struct{}{} }

// TryLock locks the mutex if it is unlocked, and reports whether it did.
func (m chanMutex) TryLock() bool {
	select {
	case m <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock unlocks the mutex.
func (m chanMutex) Unlock() { <-m }
