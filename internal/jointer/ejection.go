package jointer

import "lemonarch/internal/workbench"

// logEjection writes a line when a worker is ejected from ordinary placement here, and
// when a request that went well has brought it back.
func (jointer *Jointer) logEjection(told workbench.Ejection) {
	if told.For == 0 {
		jointer.Stand.Log.Info("worker returned", "worker", told.Worker, "service", told.Service)
		return
	}
	jointer.Stand.Log.Info("worker ejected", "worker", told.Worker, "service", told.Service, "why", told.Why, "for-ms", told.For.Milliseconds())
}
