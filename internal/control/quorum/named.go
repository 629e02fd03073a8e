package quorum

import (
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/transport"
)

// OpenNamed opens the register of that name.
func OpenNamed(disk recordlog.Disk, name string, first []messages.Member, identity string) (*Register, error) {
	replica, err := open(disk, logfileName+"-"+name, first, identity)
	if err == nil {
		replica.Name = name
	}
	return replica, err
}

// prepare gives a message of the first round as it goes to the other acceptors.
func (r *Register) prepare(question *messages.Prepare) (messages.Kind, transport.Writable) {
	if r.Name == "" {
		return messages.KindPrepare, question
	}
	return messages.KindNamedPrepare, &messages.NamedPrepare{Name: r.Name, Prepare: *question}
}

// accept gives a message of the second round.
func (r *Register) accept(question *messages.Accept) (messages.Kind, transport.Writable) {
	if r.Name == "" {
		return messages.KindAccept, question
	}
	return messages.KindNamedAccept, &messages.NamedAccept{Name: r.Name, Accept: *question}
}
