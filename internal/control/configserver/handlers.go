package configserver

import (
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// handleConfigPull responds with the configuration. It reads the configuration from a majority if the
// request is for a linearizable read, or if this process has no configuration yet.
func (s *Server) handleConfigPull(req *messages.ConfigPull) (*messages.ConfigPush, error) {
	linearizable := req.Known < 0
	if linearizable && !s.contact.Await() {
		return nil, contactserver.ErrNoContact.New("configuration")
	}
	if config := s.node.Config(); !linearizable && config != nil {
		return &messages.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
	}
	value, err := s.reads.Read(s.replica.Read)
	if err != nil {
		return nil, err
	}
	s.apply(value, false)
	return &messages.ConfigPush{Generation: value.Current.Generation, Body: value.Body}, nil
}

// handleRegisterRead responds with the sets and the leadership in the register. If no majority is
// in contact, it responds with the sets last seen in force, from which a joiner can still find the
// acceptors.
func (s *Server) handleRegisterRead(_ *messages.Ack) (*messages.RegisterResponse, error) {
	if s.contact.Await() {
		if value, err := s.setReads.Read(s.replica.ReadSets); err == nil {
			value.Body = nil
			return &messages.RegisterResponse{Applied: true, Known: true, Value: value}, nil
		}
	}
	return s.replica.ChosenSets(), nil
}

// handleRegisterChange changes the leadership or the store set on behalf of a store.
func (s *Server) handleRegisterChange(req *messages.RegisterChangeRequest) (*messages.RegisterResponse, error) {
	applied := false
	change := register.SetStores(req.Holder, req.Sequence, req.Stores, &applied)
	if req.Campaign {
		change = register.Campaign(req.Holder, req.ExpectEpoch, req.Stores, &applied)
	}
	value, err := s.replica.Change(change)
	if err != nil {
		return nil, err
	}
	value.Body = nil
	return &messages.RegisterResponse{Applied: applied, Known: true, Value: value}, nil
}
