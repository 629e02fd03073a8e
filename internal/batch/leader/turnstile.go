package leader

// turnstile lets one goroutine at a time through a section that waits for other machines. Whoever
// waits at it does not hold up the lock that guards the state.
type turnstile chan struct{}

func newTurnstile() turnstile { return make(turnstile, 1) }

// Lock waits for the section to be free, and takes it.
func (t turnstile) Lock() { t <- struct{}{} }

// TryLock takes the section if it is free.
func (t turnstile) TryLock() bool {
	select {
	case t <- struct{}{}:
		return true
	default:
		return false
	}
}

// Unlock frees the section.
func (t turnstile) Unlock() { <-t }
