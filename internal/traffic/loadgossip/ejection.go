package loadgossip

import "lemonarch/internal/traffic/admission"

// logEjection writes a line when a worker is ejected from ordinary placement here, and
// when a request that went well has brought it back.
func (g *Gossip) logEjection(told admission.Ejection) {
	if told.For == 0 {
		g.Node.Log.Info("worker returned", "worker", told.Worker, "service", told.Service)
		return
	}
	g.Node.Log.Info("worker ejected", "worker", told.Worker, "service", told.Service, "reason", told.Why, "for-ms", told.For.Milliseconds())
}
