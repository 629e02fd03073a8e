package controller

import (
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/messages"
)

func stopServer(server *http.Server) {
	stopping, done := contexts.WithTimeout(contexts.Background(), constants.BulkCallTimeout)
	defer done()
	_ = server.Shutdown(stopping)
}

// applyChosen puts a value in force here and, where push is set, tells everybody
// before the caller acknowledges it.
func (c *Controller) applyChosen(value messages.RegisterValue, push bool) {
	if value.Current.Generation == 0 {
		return
	}
	newer := value.Current.Generation > c.Node.Generation()
	c.Node.ApplyConfig(value.Body)
	if push || newer {
		update := &messages.RelayRequest{Generation: value.Current.Generation, Body: value.Body}
		if !push {
			go c.broadcast(update, constants.PushTimeout)
			return
		}
		c.broadcast(update, constants.PushTimeout)
	}
}

// onAccepted is told when our acceptor took a value. Its proposer may die right
// after it has acknowledged it, so we look for ourselves a little later.
func (c *Controller) onAccepted(generation int64) {
	if generation <= c.Node.Generation() {
		return
	}
	go func() {
		clock.Sleep(constants.PushTimeout)
		for round := 0; round < 5 && c.Node.Generation() < generation; round++ {
			if value, err := c.Register.Read(); err == nil {
				c.applyChosen(value, false)
				return
			}
			clock.Sleep(constants.PushTimeout)
		}
	}()
}
