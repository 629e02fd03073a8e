package messages

//go:generate go tool msgp -o traffic_gen.go -file traffic.go -tests=false -io=false

// Histogram contains the counts of a histogram whose buckets are defined by package trafficstats:
// bucket Buckets[i] contains Counts[i] values. Empty buckets are omitted.
type Histogram struct {
	Buckets []uint16 `msg:"b"`
	Counts  []int64  `msg:"c"`
}

// Regression contains the sums for fitting a straight line y = a + b x. The sums of several
// processes are added.
type Regression struct {
	Count float64 `msg:"n"`
	X     float64 `msg:"x"`
	Y     float64 `msg:"y"`
	XX    float64 `msg:"xx"`
	XY    float64 `msg:"xy"`
}

// TrafficSummary summarizes the requests of one class: those of a route that went to a service, for
// a model. Each request is counted once, by the process that placed it.
type TrafficSummary struct {
	Route   string `msg:"r"`
	Service string `msg:"s"`
	Model   string `msg:"m"`
	// Bulk is set if the requests are items of batch jobs.
	Bulk bool `msg:"k"`
	// Served, Rejected and Failed count the requests by their result.
	Served   int64 `msg:"o"`
	Rejected int64 `msg:"j"`
	Failed   int64 `msg:"f"`
	// PromptTokens, FreshTokens and OutTokens are sums over the requests that were placed: of the
	// prompt tokens, of those not expected to be cached, and of the maximum output tokens.
	PromptTokens int64 `msg:"p"`
	FreshTokens  int64 `msg:"e"`
	OutTokens    int64 `msg:"u"`
	// Placed counts the requests in the sums of tokens, and Events the events of streams.
	Placed int64 `msg:"l"`
	Events int64 `msg:"v"`
	// QueueWait and the following are times in tenths of a millisecond: in the queue, from
	// sending to the first event, a request's mean between two events, and from sending to the end.
	QueueWait  Histogram `msg:"q"`
	FirstEvent Histogram `msg:"t"`
	EventGap   Histogram `msg:"g"`
	Duration   Histogram `msg:"d"`
	// Prefill fits the time to the first event, in tenths of a millisecond, to the fresh tokens,
	// at workers where no request was waiting. Decode fits the time between two events, in the
	// same unit, to the number of requests running at the worker. For non-streaming requests it
	// is the time to the response.
	Prefill Regression `msg:"pr"`
	Decode  Regression `msg:"dr"`
}

// TrafficSummaryRequest requests the summaries of a gateway or a store.
type TrafficSummaryRequest struct{}

// TrafficSummaryResponse contains the summaries, and the time that they cover.
type TrafficSummaryResponse struct {
	ObservedMs int64            `msg:"t"`
	Summaries  []TrafficSummary `msg:"s"`
}

// ZoneTrafficRequest requests the merged summaries of a zone from a controller.
type ZoneTrafficRequest struct {
	Zone string `msg:"z"`
}

// WorkerGroup describes the steady workers of a service in a zone.
type WorkerGroup struct {
	Service string `msg:"s"`
	Zone    string `msg:"z"`
	Workers int    `msg:"n"`
	// Slots is the sum of their capacities, in concurrent requests.
	Slots int `msg:"c"`
}

// ZoneTrafficResponse contains the merged summaries of a zone. Answered is the number of processes
// whose summaries are included, and Missing names those that sent none.
type ZoneTrafficResponse struct {
	ObservedMs int64            `msg:"t"`
	Answered   int              `msg:"a"`
	Missing    []string         `msg:"m"`
	Summaries  []TrafficSummary `msg:"s"`
	// Workers contains the workers of all zones that this controller knows.
	Workers []WorkerGroup `msg:"w"`
}
