package registerserver

import (
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/transport"
)

// OpenNamed opens the register with the given name.
func OpenNamed(disk recordlog.Disk, name string, first []messages.Member, identity string) (*Replica, error) {
	replica, err := open(disk, logfileName+"-"+name, first, identity)
	if err == nil {
		replica.Name = name
	}
	return replica, err
}

// prepareMessage returns a message of the first round in the form that is sent to other acceptors.
func (r *Replica) prepareMessage(req *messages.PrepareRequest) (messages.Kind, transport.Marshaler) {
	if r.Name == "" {
		return messages.KindPrepare, req
	}
	return messages.KindNamedPrepare, &messages.NamedPrepareRequest{Name: r.Name, Request: *req}
}

// acceptMessage returns a message of the second round in the form that is sent to other acceptors.
func (r *Replica) acceptMessage(req *messages.AcceptRequest) (messages.Kind, transport.Marshaler) {
	if r.Name == "" {
		return messages.KindAccept, req
	}
	return messages.KindNamedAccept, &messages.NamedAcceptRequest{Name: r.Name, Request: *req}
}
