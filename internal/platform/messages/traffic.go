package messages

//go:generate go tool msgp -o traffic_gen.go -file traffic.go -tests=false -io=false

// Histogram is the counts of a histogram whose buckets are given by package trafficstats:
// Counts[i] values fell into bucket Buckets[i]. Empty buckets are left out.
type Histogram struct {
	Buckets []uint16 `msg:"b"`
	Counts  []int64  `msg:"c"`
}

// Regression holds the sums from which a straight line y = a + b x is fitted. Sums of several
// processes are added up.
type Regression struct {
	Count float64 `msg:"n"`
	X     float64 `msg:"x"`
	Y     float64 `msg:"y"`
	XX    float64 `msg:"xx"`
	XY    float64 `msg:"xy"`
}

// TrafficSummary is what was seen of the requests of one class: those of a route that went to
// a service, for a model. Each request is counted once, by the process that placed it.
type TrafficSummary struct {
	Route   string `msg:"r"`
	Service string `msg:"s"`
	Model   string `msg:"m"`
	// Bulk says that these are items of batch jobs.
	Bulk bool `msg:"k"`
	// Served, Rejected and Failed count the requests by how they ended.
	Served   int64 `msg:"o"`
	Rejected int64 `msg:"j"`
	Failed   int64 `msg:"f"`
	// PromptTokens, FreshTokens and OutTokens are sums over the requests that were placed: of
	// the prompts, of what was not expected to be cached, and of the most that may go out.
	PromptTokens int64 `msg:"p"`
	FreshTokens  int64 `msg:"e"`
	OutTokens    int64 `msg:"u"`
	// Placed counts the requests that the sums of tokens are over, Events the events of streams.
	Placed int64 `msg:"l"`
	Events int64 `msg:"v"`
	// The times, in tenths of a millisecond: in the queue, from the sending to the first
	// event, between two events on a request's mean, from the sending to the end.
	QueueWait  Histogram `msg:"q"`
	FirstEvent Histogram `msg:"t"`
	EventGap   Histogram `msg:"g"`
	Duration   Histogram `msg:"d"`
	// Prefill is the time to the first event, in tenths of a millisecond, over the fresh tokens,
	// at workers where nothing waited; Decode the time between two events, in the same unit, over
	// the requests that ran at the worker. For requests that are no streams it is the time to the answer.
	Prefill Regression `msg:"pr"`
	Decode  Regression `msg:"dr"`
}

// TrafficSummaryRequest asks a gateway or a store for its summaries.
type TrafficSummaryRequest struct{}

// TrafficSummaryResponse gives them, and the time that they cover.
type TrafficSummaryResponse struct {
	ObservedMs int64            `msg:"t"`
	Summaries  []TrafficSummary `msg:"s"`
}

// ZoneTrafficRequest asks a controller for the merged summaries of a zone.
type ZoneTrafficRequest struct {
	Zone string `msg:"z"`
}

// WorkerGroup is the steady workers of a service in a zone.
type WorkerGroup struct {
	Service string `msg:"s"`
	Zone    string `msg:"z"`
	Workers int    `msg:"n"`
	// Slots is the sum of their capacities, in requests at once.
	Slots int `msg:"c"`
}

// ZoneTrafficResponse is the merged summaries of a zone. Answered counts the processes whose
// summaries are in it; Missing names those that gave none.
type ZoneTrafficResponse struct {
	ObservedMs int64            `msg:"t"`
	Answered   int              `msg:"a"`
	Missing    []string         `msg:"m"`
	Summaries  []TrafficSummary `msg:"s"`
	// Workers are those of all zones, as this controller knows them.
	Workers []WorkerGroup `msg:"w"`
}
