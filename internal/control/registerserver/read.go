package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Read returns the value in force.
func (r *Replica) Read() (messages.RegisterValue, error) { return r.read(false) }

// ReadSets returns the value in force without the body of the configuration: stores read it often,
// and every acceptor would send the body each time.
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

// quickRead returns the value that a majority reports under the same ballot, or nil if only a
// proposal can decide what is in force. If an acceptor reports newer sets, it repeats the read at
// those.
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

// readAt reads at the sets of a value. value is nil if the responses do not decide what is in
// force. newer is a value with newer sets that an acceptor reported, or nil.
func (r *Replica) readAt(known messages.RegisterValue, withoutBody bool) (value, newer *messages.RegisterValue) {
	read, sends := register.NewQuorumRead(known)
	responses := make(chan memberResponse, len(sends))
	for _, message := range sends {
		message.Prepare.WithoutBody = withoutBody
		go r.send(message, responses)
	}
	timer := clock.NewTimer(constants.RoundTimeout)
	defer timer.Stop()
	for range sends {
		select {
		case resp := <-responses:
			value, decided := read.HandlePrepareResponse(resp.member, *resp.promise)
			if value != nil {
				r.observeChosen(*value)
			}
			if decided {
				return value, read.Newer()
			}
		case <-timer.C:
			return nil, nil
		}
	}
	return nil, nil
}
