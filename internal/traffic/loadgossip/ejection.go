package loadgossip

import "lemonarch/internal/traffic/admission"

// logEjection logs that this process has ejected a worker from ordinary placement, or has
// reinstated it after a successful request.
func (g *Gossip) logEjection(ejection admission.Ejection) {
	if ejection.Duration == 0 {
		g.Node.Log.Info("ejected worker reinstated", "worker", ejection.Worker, "service", ejection.Service)
		return
	}
	g.Node.Log.Info("worker ejected", "worker", ejection.Worker, "service", ejection.Service, "reason", ejection.Reason, "for-ms", ejection.Duration.Milliseconds())
}
