package store

import (
	"lemonarch/internal/batch/lots"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// stopRuns takes all acquisitions of a lot back whose end is decided, and tells the
// drivers that hold some. The lock is held. A driver that can't be told learns it
// when it renews, or stops when its lock ends.
func (t *term) stopRuns(lot *lots.Lot) {
	var addresses []string
	for _, driver := range t.dispatcher.Stop(lot) {
		addresses = append(addresses, driver.Address)
	}
	if t.dispatcher.Unsure(clock.Now()) {
		// Earlier holders may have handed items of it to anybody.
		addresses = nil
		for _, entry := range t.server.Node.Live(membership.RoleStore) {
			addresses = append(addresses, entry.Address)
		}
		addresses = append(addresses, t.server.Node.Own.Address)
	}
	for _, address := range addresses {
		if address == t.server.Node.Own.Address {
			go t.server.driver.stopLot(lot.ID)
			continue
		}
		go func() {
			told, answer := &messages.StopRuns{Lot: lot.ID}, &messages.Nothing{}
			for try := 0; try < 2; try++ {
				if transport.Ask(t.server.Node.Wire, address, messages.KindStopRuns, told, answer, constants.CallTime) == nil {
					return
				}
			}
		}()
	}
}

// driverAnswerers registers what drivers ask of the dispatcher, and what it tells
// them.
func (s *Server) driverAnswerers() {
	runtime := s.Node
	runtime.Answer(messages.KindAcquire, func(body []byte) ([]byte, error) {
		question := &messages.Acquire{}
		if err := transport.Read(body, question); err != nil {
			return nil, err
		}
		return transport.Write(s.acquire(question))
	})
	runtime.Answer(messages.KindAcknowledge, func(body []byte) ([]byte, error) {
		question := &messages.Acknowledge{}
		if err := transport.Read(body, question); err != nil {
			return nil, err
		}
		return transport.Write(s.acknowledge(question))
	})
	runtime.Answer(messages.KindStopRuns, func(body []byte) ([]byte, error) {
		told := &messages.StopRuns{}
		if err := transport.Read(body, told); err != nil {
			return nil, err
		}
		s.driver.stopLot(told.Lot)
		return transport.Write(&messages.Nothing{Taken: true})
	})
}

// acquire and acknowledge are the dispatcher's side, for drivers here and elsewhere.
func (s *Server) acquire(question *messages.Acquire) *messages.Acquired {
	if current := s.current(); current != nil {
		return current.acquire(question)
	}
	return &messages.Acquired{Elsewhere: true, Holder: s.elsewhere().Holder}
}

func (s *Server) acknowledge(question *messages.Acknowledge) *messages.Acknowledged {
	if current := s.current(); current != nil {
		return current.acknowledge(question)
	}
	return &messages.Acknowledged{Elsewhere: true, Holder: s.elsewhere().Holder}
}
