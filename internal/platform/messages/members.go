package messages

// NodeInfo is what a process tells of itself and of others.
type NodeInfo struct {
	Name        string `msg:"n"`
	Incarnation int64  `msg:"l"`
	Role        string `msg:"r"`
	Zone        string `msg:"h"`
	Address     string `msg:"a"`
	Disk        string `msg:"d"`
	AgeMs       int64  `msg:"g"`
	Draining    bool   `msg:"x"`
	Generation  int64  `msg:"c"`
}

// Ballot orders the rounds of the register.
type Ballot struct {
	Counter uint64 `msg:"c"`
	Node    string `msg:"n"`
}

// Member is one of the acceptor or store set: a name with the identity of its disk.
type Member struct {
	Name    string `msg:"n"`
	Disk    string `msg:"d"`
	Address string `msg:"a"`
	Zone    string `msg:"h"`
}

// Version is one acknowledged configuration in the register's history.
type Version struct {
	Generation int64  `msg:"g"`
	Base       int64  `msg:"b"`
	Hash       string `msg:"h"`
}

// Leadership says which process leads on batch jobs, fenced by its epoch.
type Leadership struct {
	Holder      string `msg:"h"`
	Incarnation int64  `msg:"l"`
	Address     string `msg:"a"`
	Epoch       uint64 `msg:"e"`
}

// RegisterValue is the value that the acceptors agree on.
type RegisterValue struct {
	Current    Version    `msg:"c"`
	Body       []byte     `msg:"b"`
	History    []Version  `msg:"y"`
	Acceptors  []Member   `msg:"a"`
	Previous   []Member   `msg:"p"`
	SetEpoch   uint64     `msg:"e"`
	Stores     []Member   `msg:"s"`
	Retired    []string   `msg:"r"`
	Leadership Leadership `msg:"d"`
	// StoresSequence numbers the newest change of Stores in the present epoch; zero before the
	// first. Each epoch counts anew.
	StoresSequence uint64 `msg:"z,omitempty"`
	// Archive names what was taken before the history begins.
	Archive ArchiveHead `msg:"x"`
}

// PrepareRequest opens a round; Query only reads and promises nothing.
type PrepareRequest struct {
	Ballot Ballot `msg:"b"`
	Disk   string `msg:"d"`
	Query  bool   `msg:"q"`
	// WithoutBody wants a query's answer without the configuration's body.
	WithoutBody bool `msg:"s"`
	// Archive asks about versions taken long ago, beside a query.
	Archive *ArchiveRequest `msg:"x,omitempty"`
}

// PrepareResponse answers Prepare.
type PrepareResponse struct {
	Granted  bool          `msg:"k"`
	Promised Ballot        `msg:"p"`
	Accepted Ballot        `msg:"a"`
	Value    RegisterValue `msg:"v"`
	// Archive answers a request for it.
	Archive *ArchiveResponse `msg:"x,omitempty"`
}

// AcceptRequest asks an acceptor to take a value.
type AcceptRequest struct {
	Ballot Ballot        `msg:"b"`
	Disk   string        `msg:"d"`
	Value  RegisterValue `msg:"v"`
}

// AcceptResponse answers Accept.
type AcceptResponse struct {
	Granted  bool   `msg:"k"`
	Promised Ballot `msg:"p"`
}

// LeaseRequest asks an acceptor to grant or renew the lease of the leadership.
type LeaseRequest struct {
	Candidate   string `msg:"c"`
	Incarnation int64  `msg:"l"`
	Epoch       uint64 `msg:"e"`
	// Release gives back what was granted.
	Release bool `msg:"r"`
	// Sequence counts the requests of an incarnation: a release that comes late gives back
	// nothing that was granted after it was sent.
	Sequence uint64 `msg:"t"`
}

// LeaseResponse grants it or says for how long it will not.
type LeaseResponse struct {
	Granted bool   `msg:"k"`
	WaitMs  int64  `msg:"w"`
	Epoch   uint64 `msg:"e"`
}

// RegisterChangeRequest asks a controller to change the leadership or the store set in the register.
type RegisterChangeRequest struct {
	Campaign    bool       `msg:"t"`
	Holder      Leadership `msg:"h"`
	ExpectEpoch uint64     `msg:"x"`
	Stores      []Member   `msg:"s"`
	// Sequence numbers the leader's changes of the store set, from 1 in each epoch: one that
	// arrives after a later one has no effect. Zero is that of a sender that does not number them.
	Sequence uint64 `msg:"q,omitempty"`
}

// RegisterResponse answers with the register as it then stood, without the body.
type RegisterResponse struct {
	Applied bool          `msg:"k"`
	Known   bool          `msg:"n"`
	Value   RegisterValue `msg:"v"`
}

// AcceptorRecord is what an acceptor keeps on disk. Each replaces the one before.
type AcceptorRecord struct {
	Disk     string        `msg:"d"`
	First    []Member      `msg:"f"`
	Promised Ballot        `msg:"p"`
	Accepted Ballot        `msg:"a"`
	HasValue bool          `msg:"h"`
	Value    RegisterValue `msg:"v"`
}

// ConfigPush carries a chosen configuration.
type ConfigPush struct {
	Generation int64  `msg:"g"`
	Body       []byte `msg:"b"`
	// ForwardTo names the addresses to which the receiver passes it on.
	ForwardTo []string `msg:"p"`
}

// ConfigPull asks for the newest one; it is answered by ConfigPush.
type ConfigPull struct {
	Known int64 `msg:"k"`
}

// Worker is a registered worker.
type Worker struct {
	ID        string `msg:"i"`
	Backend   string `msg:"b"`
	Address   string `msg:"a"`
	Zone      string `msg:"h"`
	Capacity  int    `msg:"c"`
	Phase     Phase  `msg:"p"`
	WarmupMs  int64  `msg:"w"`
	CallCount int64  `msg:"n"`
	AgeMs     int64  `msg:"g"`
	Software  string `msg:"s"`
}

// Ack is an empty answer.
type Ack struct {
	Accepted bool `msg:"t"`
}

// Residency is a node's word on how likely a worker still holds a prefix.
type Residency struct {
	Path        []byte  `msg:"p"`
	Tokens      int     `msg:"t"`
	Worker      string  `msg:"w"`
	Probability float32 `msg:"c"`
	// AgeMs is the age of the evidence, SampleAgeMs that of the word itself.
	AgeMs       int64 `msg:"a"`
	SampleAgeMs int64 `msg:"m"`
}

// Gossip carries what changed most, once a period. Loads and Prefixes are packed
// words (words.go), so that a packet is bounded. Fields added later are skipped by
// readers that do not know them.
type Gossip struct {
	Format     int        `msg:"v"`
	From       string     `msg:"f"`
	Generation int64      `msg:"g"`
	Loads      []byte     `msg:"o"`
	Prefixes   []byte     `msg:"x"`
	Pressure   []Pressure `msg:"p"`
	// ReplyTo is the address at which the sender wants to be notified, when too few do.
	ReplyTo string `msg:"q"`
}

// Pressure says that requests of a rank wait for room at a service.
type Pressure struct {
	Service  string `msg:"s"`
	Priority int    `msg:"p"`
	Waiting  int    `msg:"w"`
}

// PressureNotice carries it at once, ahead of the next gossip.
type PressureNotice struct {
	From    string     `msg:"f"`
	Entries []Pressure `msg:"w"`
	// Hops is how often it may still be passed on. Sharers is how many are asked to
	// make room; none means that it is only to be known.
	Hops    int `msg:"h"`
	Sharers int `msg:"s"`
}

// PrefillNotice says that a worker has a long prompt to read, ahead of the next gossip.
type PrefillNotice struct {
	From    string  `msg:"f"`
	Worker  string  `msg:"w"`
	Prefill float64 `msg:"r"`
	// Forward asks the receiver to tell those of its zone who place on the worker.
	Forward bool `msg:"p"`
}
