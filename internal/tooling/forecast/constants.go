package forecast

const (
	// horizonAfterSurgeS is how far the default horizon extends past the end of the last surge, in
	// seconds: queued requests are served or rejected by then.
	horizonAfterSurgeS = 10.0
	// ShortWaitMs is the highest acceptable mean queue wait of a family, in ms: the family is short
	// of capacity from the first window of one second whose mean wait is higher. Stated in
	// docs/forecast.md.
	ShortWaitMs = 50.0
	// ShortRejections is the highest acceptable share of rejected requests, applied to the same
	// windows.
	ShortRejections = 0.02
	// LateShare is the share of late or rejected requests above which a class counts as late.
	LateShare = 0.05
	// windowMs is the length of the time windows in which shortages are detected, in ms.
	windowMs = 1000.0
	// queueShare is the fraction of its latency target that a request may wait in the queue
	// before it is rejected. Gateways apply constants.QueueShare, a little less, in the same way.
	queueShare = 0.25
	// observationsMin is the minimum number of placed requests for a prediction about a class;
	// pointsMin is the minimum number of samples for fitting a line to a service.
	observationsMin = 30
	pointsMin       = 20
	// repetitions is the number of simulation runs per family, each with different random draws.
	// simulatedWorkersMax is how many workers of a service are simulated at most: of a larger
	// service a fraction is simulated, with the same fraction of the traffic.
	repetitions         = 9
	simulatedWorkersMax = 24
	// sizeShape is the shape parameter of the gamma distribution from which request sizes are
	// drawn: 2 results in a standard deviation of 0.7 times the mean.
	sizeShape = 2.0
	// bulkShare is the maximum fraction of a worker's slots that batch items may use.
	bulkShare = 0.8
	// noResource is the predicted scarce resource if the utilization of no resource is known.
	noResource = ""
)
