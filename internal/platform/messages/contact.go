package messages

// ContactAsk asks an acceptor what it has accepted. An answer is what renews the asker's
// contact lease.
type ContactAsk struct {
	From string `msg:"f"`
}

// ContactTold answers ContactAsk: the identity of the acceptor's disk, and the newest
// acceptor set and configuration that it has accepted, chosen or not.
type ContactTold struct {
	Disk       string `msg:"d"`
	SetEpoch   uint64 `msg:"e"`
	Generation int64  `msg:"g"`
}

// WorkersKeep asks a controller to have changes of workers on disk before it answers.
type WorkersKeep struct {
	From    string   `msg:"f"`
	Workers []Worker `msg:"w"`
}

// WorkersRecall asks a controller for all that it knows of workers, on behalf of one
// that has just started.
type WorkersRecall struct {
	From string `msg:"f"`
}

// WorkersRecalled answers WorkersRecall. Vouching is not set while the answering process
// has itself just started and knows no more than its file says.
type WorkersRecalled struct {
	Vouching bool     `msg:"v"`
	Disk     string   `msg:"d"`
	SetEpoch uint64   `msg:"e"`
	Workers  []Worker `msg:"w"`
}
