package linearize

import (
	"fmt"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// controller is one simulated controller machine: an acceptor whose record is stored in a log
// file on a simulated disk, and the state of its process.
type controller struct {
	name        string
	disk        *simulation.Disk
	logfile     *recordlog.Log
	acceptor    *register.Acceptor
	down        bool
	incarnation int64
	// counter is the highest ballot counter that the process has used, or has seen when it lost a
	// proposal. known is the value with the newest acceptor sets that it has received.
	counter uint64
	known   messages.RegisterValue
}

// start reads the acceptor's record from the disk. A new incarnation has no other state.
func (c *controller) start(identity string, first []messages.Member) error {
	record := messages.AcceptorRecord{}
	logfile, err := recordlog.Open(c.disk, "register", func(_ int64, body []byte) error {
		record = messages.AcceptorRecord{}
		_, callErr := record.UnmarshalMsg(body)
		return callErr
	})
	if err != nil {
		return err
	}
	c.logfile = logfile
	if record.Disk == "" {
		record.Disk, record.First = identity, first
	}
	c.acceptor = register.NewAcceptor(record)
	c.down, c.counter, c.known = false, 0, c.acceptor.Value()
	c.incarnation++
	return c.write()
}

// write appends the acceptor's record to the log and syncs it, which makes it durable.
func (c *controller) write() error {
	record := c.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err == nil {
		_, err = c.logfile.Append(body)
	}
	if err == nil {
		err = c.logfile.Sync()
	}
	return err
}

func (c *controller) member() messages.Member {
	return messages.Member{Name: c.name, Address: c.name, Disk: c.acceptor.Disk()}
}

// learn stores a value whose acceptor sets are not older than those of the known value.
func (c *controller) learn(value messages.RegisterValue) {
	if len(value.Acceptors) > 0 && (value.SetEpoch >= c.known.SetEpoch || len(c.known.Acceptors) == 0) {
		c.known = value
	}
}

// identity returns a new identity for a disk that came back empty.
func (c *controller) identity() string { return fmt.Sprintf("%s-%d", c.name, c.incarnation) }
