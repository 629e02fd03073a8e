package messages

// JobCallRequest forwards a client's call on a batch job to the leader.
type JobCallRequest struct {
	Method string `msg:"m"`
	Host   string `msg:"h"`
	Path   string `msg:"p"`
	Job    string `msg:"l"`
	Item   string `msg:"i"`
	// Cursor is the position of the first result to read.
	Cursor int `msg:"c"`
	// WaitMs is how long a read or an offer may wait at the leader, in ms.
	WaitMs int    `msg:"w"`
	Body   []byte `msg:"b"`
	// Forwarded is set if another gateway forwarded the call, which happens once at most.
	Forwarded bool `msg:"y"`
	// RequestID identifies one request to one process, so that duplicates are recognized.
	RequestID string `msg:"k"`
	// TTLMs is how long after its arrival a submission may still be accepted, in ms. Each hop
	// reduces it by its own monotonic clock. Zero means no limit.
	TTLMs int64 `msg:"t"`
	// ExpiresAt is the resulting instant on the receiver's own monotonic clock, in ns. Zero
	// means no limit.
	ExpiresAt int64 `msg:"-"`
	// BodyBytes is the length of the body to be sent, in an offer.
	BodyBytes int `msg:"z,omitempty"`
}

// MethodOffer is the method of a call without a body that asks whether a job may be sent now. It
// has no effect. StatusSendNow is the response that requests the body.
const (
	MethodOffer   = "OFFER"
	StatusSendNow = 100
)

// JobCallResponse is the leader's response to JobCallRequest.
type JobCallResponse struct {
	Status int    `msg:"s"`
	Body   []byte `msg:"b"`
	// RetryAfterMs is the time after which the call may be retried, in ms; 0 if none is stated.
	RetryAfterMs int `msg:"r"`
	// NotLeader is set if the responding process is not the leader.
	NotLeader bool   `msg:"e"`
	Leader    string `msg:"h"`
	// ContentType is the media type of the body.
	ContentType string `msg:"k"`
}

// Record is one durable fact about a batch job. Jobs, outputs and job ends are never changed.
type Record struct {
	Index     int64      `msg:"x"`
	Epoch     uint64     `msg:"e"`
	Kind      RecordKind `msg:"k"`
	Job       string     `msg:"l"`
	Item      string     `msg:"i"`
	Position  int        `msg:"p"`
	Abandoned bool       `msg:"d"`
	// AtMs is when a job was submitted, in ms of Unix time. In a RecordExecutor it is the incarnation
	// of the executor whose name is in Item.
	AtMs  int64  `msg:"t"`
	Route string `msg:"r"`
	Host  string `msg:"h"`
	Body  []byte `msg:"b"`
	// Acquisition is the acquisition whose acknowledgement this record contains, if any.
	Acquisition uint64 `msg:"a"`
	// Compressed is set if the body of an output is compressed (DEFLATE).
	Compressed bool `msg:"z"`
}

// EpochRange is a range of records, starting at First, that were written under Epoch.
type EpochRange struct {
	Epoch uint64 `msg:"e"`
	First int64  `msg:"f"`
}

// FenceRequest asks a store to reject requests of earlier epochs from now on.
type FenceRequest struct {
	Epoch uint64 `msg:"e"`
	Disk  string `msg:"d"`
}

// FenceResponse contains the extent of the records of the store.
type FenceResponse struct {
	Granted     bool         `msg:"k"`
	Epoch       uint64       `msg:"e"`
	Last        int64        `msg:"l"`
	EpochRanges []EpochRange `msg:"s"`
	// Base is the index up to which the store has compacted its records.
	Base int64 `msg:"b"`
}

// AppendRequest sends a store records that follow PreviousIndex. Conflicting records after that
// index are truncated.
type AppendRequest struct {
	Epoch         uint64   `msg:"e"`
	Disk          string   `msg:"d"`
	PreviousIndex int64    `msg:"x"`
	PreviousEpoch uint64   `msg:"y"`
	Records       []Record `msg:"r"`
	// CommitIndex is the index up to which all records are durable. A store may apply records
	// only up to there.
	CommitIndex int64 `msg:"o"`
	// Base and BaseEpoch are set if the records are part of a copy that was compacted up to
	// Base. The records up to Base are then not consecutive.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
	// Forward identifies a further store to which the receiver forwards the records.
	Forward *AppendForward `msg:"w,omitempty"`
}

// AppendForward identifies a store to which an append is forwarded, by its address and its disk.
// The forwarding store reports the result to the leader at ReportTo.
type AppendForward struct {
	Address  string `msg:"a"`
	Disk     string `msg:"d"`
	ReportTo string `msg:"t"`
}

// AppendForwarded reports to the leader of an epoch a store's response to an append that was
// forwarded to it.
type AppendForwarded struct {
	Epoch    uint64         `msg:"e"`
	Address  string         `msg:"a"`
	Disk     string         `msg:"d"`
	Response AppendResponse `msg:"r"`
}

// AppendResponse is the response to AppendRequest. It is sent once the records are synced.
type AppendResponse struct {
	Granted     bool         `msg:"k"`
	Epoch       uint64       `msg:"e"`
	Last        int64        `msg:"l"`
	EpochRanges []EpochRange `msg:"s"`
	Base        int64        `msg:"b"`
}

// FetchRequest asks a store for the records from First on.
type FetchRequest struct {
	First int64  `msg:"f"`
	Epoch uint64 `msg:"e"`
	// Disk, if set, is the only disk that may respond: a store that was restarted with an empty
	// disk has other records, or none.
	Disk string `msg:"d"`
}

// CopyRequest asks a store to fetch the records First to Last from another store and to store
// them, under the epoch of the requesting leader.
type CopyRequest struct {
	Epoch      uint64 `msg:"e"`
	Disk       string `msg:"d"`
	Source     string `msg:"s"`
	SourceDisk string `msg:"o"`
	First      int64  `msg:"f"`
	Last       int64  `msg:"l"`
}

// FetchResponse contains some of the records, and the index of the last record available.
type FetchResponse struct {
	Granted bool     `msg:"k"`
	Records []Record `msg:"r"`
	Last    int64    `msg:"l"`
	// Base and BaseEpoch have the same meaning as in AppendRequest.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}

// LeaderAnnouncement notifies other processes which process is the leader.
type LeaderAnnouncement struct {
	Leadership Leadership `msg:"d"`
	// Resigned is set if the leader has resigned. Others need not wait for the end of its lease.
	Resigned bool `msg:"o"`
}

// The status queries whose name for users differs from the one on the wire, which earlier versions
// use.
const (
	QueryLeadership = "duty"
	QueryJobs       = "lots"
	QuerySlowness   = "pace"
)

// StatusRequest asks a process for part of its state.
type StatusRequest struct {
	Query string `msg:"q"`
	// Zone, if set, limits the response to the rows of one zone.
	Zone string `msg:"h"`
}

// StatusResponse contains a table for people and tools.
type StatusResponse struct {
	Columns []string   `msg:"c"`
	Rows    [][]string `msg:"r"`
}

// JobItem is one item of a job in its stored form.
type JobItem struct {
	ID      string            `msg:"i"`
	Path    string            `msg:"p"`
	Headers map[string]string `msg:"h"`
	Body    []byte            `msg:"b"`
	Tokens  int64             `msg:"t"`
}

// JobBody is the body of a job's record.
type JobBody struct {
	Path  string    `msg:"p"`
	Items []JobItem `msg:"i"`
}

// ReplicaRecord is one record on a store's disk: a raised fence, a truncation of the tail, or a
// record of batch jobs.
type ReplicaRecord struct {
	Fence         uint64 `msg:"f"`
	TruncateTo    int64  `msg:"c"`
	HasTruncation bool   `msg:"k"`
	HasEntry      bool   `msg:"h"`
	Entry         Record `msg:"e"`
	Disk          string `msg:"d"`
	// Base, if set, marks the start of a copy that is compacted up to that index. BaseEpoch is
	// the epoch of the record at that index.
	Base      int64  `msg:"b"`
	BaseEpoch uint64 `msg:"z"`
}
