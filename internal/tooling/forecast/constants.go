package forecast

const (
	// horizonAfterSurgeS is how long after the last surge a forecast looks, in seconds (ours):
	// what has queued up is served or refused by then.
	horizonAfterSurgeS = 10.0
	// ShortWaitMs is the mean wait that a family bears: it is short from the first window of a
	// second in which its requests wait longer (ours). docs/forecast.md states it.
	ShortWaitMs = 50.0
	// ShortRefusals is the share of refused requests that a family bears in the same way (ours).
	ShortRefusals = 0.02
	// LateShare is the share of late or refused requests from which on a class is called late
	// (ours).
	LateShare = 0.05
	// windowMs is the length of the windows in which shortages are looked for.
	windowMs = 1000.0
	// queueShare of the latency target is how long gateways let a request wait before they
	// refuse it, as constants.QueueShare does for the gateways.
	queueShare = 0.25
	// observedMin is how many placed requests, and pointsMin how many points of a line, are
	// wanted before anything is said of a class or a service (ours).
	observedMin = 30
	pointsMin   = 20
	// repetitions is how often the simulation is run, each time with other draws (ours), and
	// simulatedWorkersMax how many workers of a service are simulated: of more, a share is, with
	// the same share of the traffic.
	repetitions         = 9
	simulatedWorkersMax = 24
	// sizeShape is the shape of the gamma distribution that sizes are drawn from (ours): a
	// standard deviation of 0.7 of the mean.
	sizeShape = 2.0
	// bulkShare of a worker's slots is the most that items of batch jobs take (ours).
	bulkShare = 0.8
	// shortOfNothing is predicted where no resource is used up.
	shortOfNothing = ""
)
