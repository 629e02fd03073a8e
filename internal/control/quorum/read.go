package quorum

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Read gives the value in force.
func (r *Register) Read() (messages.RegisterValue, error) { return r.read(false) }

// ReadSets gives it without the configuration's body: stores ask often, and the body
// would come from each acceptor each time.
func (r *Register) ReadSets() (messages.RegisterValue, error) {
	value, err := r.read(true)
	value.Body = nil
	return value, err
}

func (r *Register) read(slim bool) (messages.RegisterValue, error) {
	if value := r.quickRead(slim); value != nil {
		return *value, nil
	}
	return r.Change(register.Look)
}

// quickRead gives the value that a majority holds under one and the same ballot, or
// nil where only a proposal can tell what is in force. Where the sets known here are
// old, it goes on to those that it meets.
func (r *Register) quickRead(slim bool) *messages.RegisterValue {
	known := r.Known()
	for range constants.ReadAttempts {
		value, newer := r.readAt(known, slim)
		if newer == nil {
			return value
		}
		known = *newer
	}
	return nil
}

// readAt reads at the sets of a value; newer is one with newer sets that it met.
func (r *Register) readAt(known messages.RegisterValue, slim bool) (value, newer *messages.RegisterValue) {
	reading, sends := register.BeginReading(known)
	responses := make(chan response, len(sends))
	for _, message := range sends {
		message.Prepare.WithoutBody = slim
		go r.send(message, responses)
	}
	timer := clock.NewTimer(constants.RoundTimeout)
	defer timer.Stop()
	for range sends {
		select {
		case re := <-responses:
			value, settled := reading.Heard(re.member, *re.promise)
			if value != nil {
				r.learnChosen(*value)
			}
			if settled {
				return value, reading.Newer()
			}
		case <-timer.C:
			return nil, nil
		}
	}
	return nil, nil
}
