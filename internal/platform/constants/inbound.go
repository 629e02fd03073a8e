package constants

import "time"

// What clients may make a process hold. None of these is met by a client inside the limits of the
// configuration while the process has room.
const (
	// ClientConnectionsShare is the part of memory-mb that connections may take, and
	// ClientConnectionBytes what one is reckoned at: stacks and buffers, what its request holds
	// uncounted, and what has arrived and is not yet read, on it and on one that waits to be accepted.
	ClientConnectionsShare = 0.3
	ClientConnectionBytes  = 24<<10 + ClientUnmeteredBytes + 4*ClientReceiveBuffer
	// ClientConnectionsMin is the least number of connections of a listener.
	ClientConnectionsMin = 16
	// ClientBytesShare is the part of memory-mb that heads and bodies may take beyond that.
	ClientBytesShare = 0.2
	// ClientUnmeteredBytes is what a request may hold without being counted, in bytes: an ordinary
	// one finds room whatever others hold.
	ClientUnmeteredBytes = 16 << 10
	// ClientReceiveBuffer is SO_RCVBUF of a client's connection, in bytes; the system doubles it.
	ClientReceiveBuffer = 16 << 10
	// HeaderLineBytes is what a line of a head holds beside its text, in bytes.
	HeaderLineBytes = 160
	// HeadSlack is how much longer than stated a head may be, in bytes: the limit is that of the
	// headers, and the request line comes before them.
	HeadSlack = 4 << 10
	// ServerHeadMax is what the server itself takes of a head, in bytes: the listener bounds it.
	ServerHeadMax = 1 << 30
	// LingerBytes and LingerTimeout are what is read and thrown away before a connection ends on
	// which the client still sends.
	LingerBytes   = 1 << 20
	LingerTimeout = 300 * time.Millisecond
	// BodyFirstBytes is the first buffer of a body whose length is not announced, in bytes, and
	// BodyAnnouncedBytes that of one whose length is, where it is longer.
	BodyFirstBytes     = 4 << 10
	BodyAnnouncedBytes = 16 << 10
	// FileHandlesReserved are the descriptors that the machine keeps for files, and
	// ClientHandlesShare the part of the others that a listener's connections may take.
	FileHandlesReserved = 200
	ClientHandlesShare  = 0.5
	// ClientGrace is how long a request may be coming before it has to give way as a slow one.
	ClientGrace = time.Second
	// ClientRateWindow is the time over which the bytes of a client are counted, to find the slowest.
	ClientRateWindow = time.Second
	// ClientDeafTime is how long an answer may find no reader before its connection may be closed
	// for a new one.
	ClientDeafTime = 3 * time.Second
	// ClientRoomTimeout is how long a request waits for the room that others are giving back.
	ClientRoomTimeout = 250 * time.Millisecond
	// ClientRetryAfter is when a request that found no room may come back.
	ClientRetryAfter = 250 * time.Millisecond
	// ClientRefusalTimeout bounds the writing of a refusal.
	ClientRefusalTimeout = 100 * time.Millisecond
	// ClientDrainTimeout is how long the rest of a body is read that nobody wants.
	ClientDrainTimeout = time.Second
	// ClientBodyMin is the least time that a body may take, whatever time its client has left.
	ClientBodyMin = 100 * time.Millisecond
	// ClientLogPeriod is the time between two lines of the log about clients that were turned away.
	ClientLogPeriod = 10 * time.Second
	// ControlBodyTimeout is how long a body on the control port may take, and ControlIdle how long
	// a connection may lie idle there.
	ControlBodyTimeout = 30 * time.Second
	ControlIdle        = 60 * time.Second
	// ReadinessConnections is how many connections the readiness port may have: the platform asks
	// once a second.
	ReadinessConnections = 64
)
