package messages

// ServiceCapacity is the number of free slots for items that an executor has at a service.
type ServiceCapacity struct {
	Service string `msg:"s"`
	Count   int    `msg:"c"`
}

// ExecutorInfo is an executor that was in contact with the dispatcher recently.
type ExecutorInfo struct {
	Name string `msg:"n"`
	Zone string `msg:"h"`
}

// AcquireRequest asks the dispatcher for items. The response may be delayed until there are some.
type AcquireRequest struct {
	Executor    string            `msg:"d"`
	Incarnation int64             `msg:"l"`
	Address     string            `msg:"a"`
	Capacity    []ServiceCapacity `msg:"r"`
	// WaitMs is how long the response may be delayed, in ms, and constants.AcquireWait at most.
	WaitMs int    `msg:"h"`
	Zone   string `msg:"z"`
	// KnownVersion is the version of the list of executors that the requester has.
	KnownVersion uint64 `msg:"k"`
}

// AcquiredItem is one item under a lock.
type AcquiredItem struct {
	Number uint64 `msg:"n"`
	Job    string `msg:"l"`
	Host   string `msg:"h"`
	Path   string `msg:"p"`
	// SubmittedMs is when the job was submitted, in ms of Unix time.
	SubmittedMs int64   `msg:"t"`
	Item        JobItem `msg:"i"`
	// Events are the events of an earlier attempt that its RELEASE returned, and LastID the id of
	// the last of them, zero if there are none.
	LastID        int64    `msg:"e"`
	Events        [][]byte `msg:"g"`
	Preempted     int      `msg:"y"`
	ResumePending bool     `msg:"o"`
}

// AcquireResponse contains items, each locked for LockMs from the time at which it was acquired.
type AcquireResponse struct {
	NotLeader bool   `msg:"e"`
	Leader    string `msg:"h"`
	// WaitedMs is how long the response was delayed, so that an executor can compute the end of
	// the lock from the time of its request. LockMs is the length of the lock.
	WaitedMs float64        `msg:"w"`
	LockMs   float64        `msg:"k"`
	Items    []AcquiredItem `msg:"i"`
	// Version is the version of the list of executors, which is set only if it is new to the
	// requester.
	Version   uint64         `msg:"v"`
	Executors []ExecutorInfo `msg:"d"`
}

// Acknowledgement is an executor's acknowledgement of one acquisition.
type Acknowledgement struct {
	Number uint64  `msg:"n"`
	Kind   AckKind `msg:"k"`
	Job    string  `msg:"l"`
	Item   string  `msg:"i"`
	// Output is the complete output, for an ACCEPT.
	Output []byte `msg:"t"`
	// Compressed is set if Output is compressed (DEFLATE).
	Compressed bool `msg:"z"`
	// Events are the events that a RELEASE returns, from the first event on, and LastID the id of
	// the last of them.
	Events [][]byte `msg:"g"`
	LastID int64    `msg:"e"`
	// Failed marks a RELEASE after a 500, Preempted one after a preemption, NotStarted one of an
	// item that found no free slot.
	Failed     bool `msg:"f"`
	Preempted  bool `msg:"y"`
	NotStarted bool `msg:"u"`
}

// AcknowledgeRequest contains a batch of acknowledgements.
type AcknowledgeRequest struct {
	Executor     string            `msg:"d"`
	Incarnation  int64             `msg:"l"`
	Address      string            `msg:"a"`
	Entries      []Acknowledgement `msg:"e"`
	Zone         string            `msg:"z"`
	KnownVersion uint64            `msg:"k"`
	// Draining is set if the executor will send no more requests for items.
	Draining bool `msg:"g"`
	// Epoch, if not zero, means that the entries cover all acquisitions of the executor, and that
	// the executor no longer accepts acquisitions of epochs before this one.
	Epoch uint64 `msg:"p"`
}

// AcknowledgeResponse contains a verdict for each entry. It is sent once ACCEPT and REJECT entries
// are durable.
type AcknowledgeResponse struct {
	NotLeader bool           `msg:"e"`
	Leader    string         `msg:"h"`
	Verdicts  []AckVerdict   `msg:"v"`
	Version   uint64         `msg:"n"`
	Executors []ExecutorInfo `msg:"d"`
}

// StopJobRequest notifies an executor that a job has ended.
type StopJobRequest struct {
	Job string `msg:"l"`
}
