package store

import (
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// renew asks for all locks in one message.
func (d *executorLoop) renew(entries []messages.Acknowledgement, epoch uint64) {
	sentAt := clock.Now()
	resp := d.acknowledge(entries, epoch, constants.CallTimeout/2)
	d.lock.Lock()
	defer d.lock.Unlock()
	d.renewing = false
	if resp == nil {
		// Asked again at once: the duty may have changed hands.
		d.renewedAt = 0
		return
	}
	d.stopRunsLocked(d.core.HandleRenewals(entries, resp.Verdicts, sentAt, d.lockDuration))
}

// acknowledge carries a batch to the dispatcher; nil when it was not answered.
func (d *executorLoop) acknowledge(entries []messages.Acknowledgement, epoch uint64, timeout clock.Duration) *messages.AcknowledgeResponse {
	own, leader := d.server.Node.Self, d.server.leaderAddress()
	d.lock.Lock()
	draining := d.draining
	d.lock.Unlock()
	req := &messages.AcknowledgeRequest{Executor: own.Name, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Entries: entries,
		KnownVersion: d.knownVersion(), Draining: draining, Epoch: epoch}
	resp := &messages.AcknowledgeResponse{}
	if leader == own.Address {
		resp = d.server.acknowledge(req)
	} else if leader == "" || transport.Call(d.server.Node.Transport, leader, messages.KindAcknowledge, req, resp, timeout) != nil {
		return nil
	}
	if resp.NotLeader {
		return nil
	}
	d.updateExecutors(resp.Version, resp.Executors, clock.Now())
	return resp
}

// acknowledgeLoop repeats acknowledgements until they are answered.
func (d *executorLoop) acknowledgeLoop(changed chan struct{}, gather func() []messages.Acknowledgement) {
	stop := d.server.Node.Stop
	for {
		select {
		case <-stop:
			return
		case <-changed:
		case <-clock.After(constants.AcquireWait):
		}
		for {
			d.lock.Lock()
			batch := gather()
			d.lock.Unlock()
			if len(batch) == 0 {
				break
			}
			backoff := constants.AckBatchWindow
			if resp := d.acknowledge(batch, 0, constants.RoundTimeout+constants.CallTimeout); resp != nil {
				d.lock.Lock()
				d.core.HandleVerdicts(batch, resp.Verdicts)
				d.lock.Unlock()
			} else {
				backoff = constants.AckBackoff
			}
			select {
			case <-stop:
				return
			case <-clock.After(backoff):
			}
		}
	}
}
