package messages

// ServiceCapacity is how many items a driver has places for at a service.
type ServiceCapacity struct {
	Service string `msg:"s"`
	Count   int    `msg:"c"`
}

// ExecutorInfo is an executor that was in contact with the dispatcher lately.
type ExecutorInfo struct {
	Name string `msg:"n"`
	Zone string `msg:"h"`
}

// AcquireRequest asks the dispatcher for items; it may be held until there are some.
type AcquireRequest struct {
	Executor    string            `msg:"d"`
	Incarnation int64             `msg:"l"`
	Address     string            `msg:"a"`
	Capacity    []ServiceCapacity `msg:"r"`
	WaitMs      int               `msg:"h"`
	Zone        string            `msg:"z"`
	// KnownVersion is the version of the list of drivers that the asker has.
	KnownVersion uint64 `msg:"k"`
}

// AcquiredItem is one item under a lock.
type AcquiredItem struct {
	Number      uint64  `msg:"n"`
	Job         string  `msg:"l"`
	Host        string  `msg:"h"`
	Path        string  `msg:"p"`
	SubmittedMs int64   `msg:"t"`
	Item        JobItem `msg:"i"`
	// LastID and Pieces are the events that an earlier RELEASE brought back.
	LastID    int64    `msg:"e"`
	Events    [][]byte `msg:"g"`
	Preempted int      `msg:"y"`
	Owed      bool     `msg:"o"`
}

// AcquireResponse answers with items, each for the lock's length from its handing out.
type AcquireResponse struct {
	NotLeader bool   `msg:"e"`
	Leader    string `msg:"h"`
	// WaitedMs is how long the request was held, so that a driver can reckon the lock
	// from its asking; LockMs is the lock's length.
	WaitedMs float64        `msg:"w"`
	LockMs   float64        `msg:"k"`
	Items    []AcquiredItem `msg:"i"`
	// Version names the list of drivers; it comes only where it is new to the asker.
	Version   uint64         `msg:"v"`
	Executors []ExecutorInfo `msg:"d"`
}

// Acknowledgement is one driver's word on one acquisition.
type Acknowledgement struct {
	Number uint64  `msg:"n"`
	Kind   AckKind `msg:"k"`
	Job    string  `msg:"l"`
	Item   string  `msg:"i"`
	// Output is the complete output of an ACCEPT.
	Output []byte `msg:"t"`
	// Compressed says that the text is compressed (DEFLATE).
	Compressed bool `msg:"z"`
	// Events and LastID are the events that a RELEASE gives back, from the first on.
	Events [][]byte `msg:"g"`
	LastID int64    `msg:"e"`
	// Failed marks a RELEASE after a 500, Preempted one that yielded, Unstarted one
	// that found no place.
	Failed     bool `msg:"f"`
	Preempted  bool `msg:"y"`
	NotStarted bool `msg:"u"`
}

// AcknowledgeRequest carries a batch of them.
type AcknowledgeRequest struct {
	Executor     string            `msg:"d"`
	Incarnation  int64             `msg:"l"`
	Address      string            `msg:"a"`
	Entries      []Acknowledgement `msg:"e"`
	Zone         string            `msg:"z"`
	KnownVersion uint64            `msg:"k"`
	// Draining says that the driver will ask no more.
	Draining bool `msg:"g"`
	// Epoch, where not zero, says that the entries are all that the driver holds, and
	// that it takes nothing of epochs before this one any more.
	Epoch uint64 `msg:"p"`
}

// AcknowledgeResponse answers entry by entry, ACCEPT and REJECT once they are durable.
type AcknowledgeResponse struct {
	NotLeader bool           `msg:"e"`
	Leader    string         `msg:"h"`
	Verdicts  []AckVerdict   `msg:"v"`
	Version   uint64         `msg:"n"`
	Executors []ExecutorInfo `msg:"d"`
}

// StopJobRequest tells an executor that a job has ended.
type StopJobRequest struct {
	Job string `msg:"l"`
}
