package loadgossip

import "lemonarch/internal/traffic/admission"

// logEjection writes a line when a worker is ejected from ordinary placement here, and
// when a request that went well has brought it back.
func (g *Gossip) logEjection(ejection admission.Ejection) {
	if ejection.Duration == 0 {
		g.Node.Log.Info("worker returned", "worker", ejection.Worker, "service", ejection.Service)
		return
	}
	g.Node.Log.Info("worker ejected", "worker", ejection.Worker, "service", ejection.Service, "reason", ejection.Reason, "for-ms", ejection.Duration.Milliseconds())
}
