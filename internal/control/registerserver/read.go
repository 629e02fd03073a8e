package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Read gives the value in force.
func (r *Replica) Read() (messages.RegisterValue, error) { return r.read(false) }

// ReadSets gives it without the configuration's body: stores ask often, and the body
// would come from each acceptor each time.
func (r *Replica) ReadSets() (messages.RegisterValue, error) {
	value, err := r.read(true)
	value.Body = nil
	return value, err
}

func (r *Replica) read(withoutBody bool) (messages.RegisterValue, error) {
	if value := r.quickRead(withoutBody); value != nil {
		return *value, nil
	}
	return r.Change(register.ReadOnly)
}

// quickRead gives the value that a majority holds under one and the same ballot, or
// nil where only a proposal can tell what is in force. Where the sets known here are
// old, it goes on to those that it meets.
func (r *Replica) quickRead(withoutBody bool) *messages.RegisterValue {
	known := r.Known()
	for range constants.ReadAttempts {
		value, newer := r.readAt(known, withoutBody)
		if newer == nil {
			return value
		}
		known = *newer
	}
	return nil
}

// readAt reads at the sets of a value; newer is one with newer sets that it met.
func (r *Replica) readAt(known messages.RegisterValue, withoutBody bool) (value, newer *messages.RegisterValue) {
	reading, sends := register.NewQuorumRead(known)
	responses := make(chan memberResponse, len(sends))
	for _, message := range sends {
		message.Prepare.WithoutBody = withoutBody
		go r.send(message, responses)
	}
	timer := clock.NewTimer(constants.RoundTimeout)
	defer timer.Stop()
	for range sends {
		select {
		case re := <-responses:
			value, decided := reading.HandlePrepareResponse(re.member, *re.promise)
			if value != nil {
				r.observeChosen(*value)
			}
			if decided {
				return value, reading.Newer()
			}
		case <-timer.C:
			return nil, nil
		}
	}
	return nil, nil
}
