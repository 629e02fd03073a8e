package messages

// ServiceRoom is how many items a driver has places for at a service.
type ServiceRoom struct {
	Service string `msg:"s"`
	Count   int    `msg:"c"`
}

// DriverAt is a driver that the dispatcher has heard lately.
type DriverAt struct {
	Name string `msg:"n"`
	Zone string `msg:"h"`
}

// Acquire asks the dispatcher for items; it may be held until there are some.
type Acquire struct {
	Driver  string        `msg:"d"`
	Life    int64         `msg:"l"`
	Address string        `msg:"a"`
	Room    []ServiceRoom `msg:"r"`
	HoldMs  int           `msg:"h"`
	Zone    string        `msg:"z"`
	// Known is the version of the list of drivers that the asker has.
	Known uint64 `msg:"k"`
}

// AcquiredItem is one item under a lock.
type AcquiredItem struct {
	Number uint64  `msg:"n"`
	Lot    string  `msg:"l"`
	Host   string  `msg:"h"`
	Path   string  `msg:"p"`
	SentMs int64   `msg:"t"`
	Item   LotItem `msg:"i"`
	// LastID and Pieces are the events that an earlier RELEASE brought back.
	LastID    int64    `msg:"e"`
	Pieces    [][]byte `msg:"g"`
	Displaced int      `msg:"y"`
	Owed      bool     `msg:"o"`
}

// Acquired answers with items, each for the lock's length from its handing out.
type Acquired struct {
	Elsewhere bool   `msg:"e"`
	Holder    string `msg:"h"`
	// HeldMs is how long the question was held, so that a driver can reckon the lock
	// from its asking; LockMs is the lock's length.
	HeldMs float64        `msg:"w"`
	LockMs float64        `msg:"k"`
	Items  []AcquiredItem `msg:"i"`
	// Version names the list of drivers; it comes only where it is new to the asker.
	Version uint64     `msg:"v"`
	Drivers []DriverAt `msg:"d"`
}

// Acknowledgement is one driver's word on one acquisition.
type Acknowledgement struct {
	Number uint64  `msg:"n"`
	Kind   AckKind `msg:"k"`
	Lot    string  `msg:"l"`
	Item   string  `msg:"i"`
	// Text is the whole output of an ACCEPT.
	Text []byte `msg:"t"`
	// Packed says that the text is compressed (DEFLATE).
	Packed bool `msg:"z"`
	// Pieces and LastID are the events that a RELEASE gives back, from the first on.
	Pieces [][]byte `msg:"g"`
	LastID int64    `msg:"e"`
	// Failed marks a RELEASE after a 500, Displaced one that made room, Unbegun one
	// that found no place.
	Failed    bool `msg:"f"`
	Displaced bool `msg:"y"`
	Unbegun   bool `msg:"u"`
}

// Acknowledge carries a batch of them.
type Acknowledge struct {
	Driver  string            `msg:"d"`
	Life    int64             `msg:"l"`
	Address string            `msg:"a"`
	Entries []Acknowledgement `msg:"e"`
	Zone    string            `msg:"z"`
	Known   uint64            `msg:"k"`
	// Leaving says that the driver will ask no more.
	Leaving bool `msg:"g"`
	// Epoch, where not zero, says that the entries are all that the driver holds, and
	// that it takes nothing of epochs before this one any more.
	Epoch uint64 `msg:"p"`
}

// Acknowledged answers entry by entry, ACCEPT and REJECT once they are durable.
type Acknowledged struct {
	Elsewhere bool         `msg:"e"`
	Holder    string       `msg:"h"`
	Verdicts  []AckVerdict `msg:"v"`
	Version   uint64       `msg:"n"`
	Drivers   []DriverAt   `msg:"d"`
}

// StopRuns tells a driver that a lot has ended.
type StopRuns struct {
	Lot string `msg:"l"`
}
