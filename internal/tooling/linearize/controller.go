package linearize

import (
	"fmt"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/tooling/simulation"
)

// controller is one simulated control machine: an acceptor whose record stands in a
// log file on a fake disk, and what its process knows.
type controller struct {
	name     string
	disk     *simulation.Disk
	logfile  *recordlog.Logfile
	acceptor *register.Acceptor
	down     bool
	life     int64
	counter  uint64
	known    messages.Register
}

// start reads the disk: nothing else is known to a new life.
func (one *controller) start(identity string, first []messages.Member) error {
	record := messages.AcceptorRecord{}
	logfile, err := recordlog.Open(one.disk, "register", func(_ int64, body []byte) error {
		record = messages.AcceptorRecord{}
		_, problem := record.UnmarshalMsg(body)
		return problem
	})
	if err != nil {
		return err
	}
	one.logfile = logfile
	if record.Disk == "" {
		record.Disk, record.First = identity, first
	}
	one.acceptor = register.NewAcceptor(record)
	one.down, one.counter, one.known = false, 0, one.acceptor.Value()
	one.life++
	return one.write()
}

// write appends the acceptor's record; sync makes it last.
func (one *controller) write() error {
	record := one.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err == nil {
		_, err = one.logfile.Append(body)
	}
	if err == nil {
		err = one.logfile.Sync()
	}
	return err
}

func (one *controller) member() messages.Member {
	return messages.Member{Name: one.name, Address: one.name, Disk: one.acceptor.Disk()}
}

// learn takes newer sets.
func (one *controller) learn(value messages.Register) {
	if len(value.Acceptors) > 0 && (value.SetEpoch >= one.known.SetEpoch || len(one.known.Acceptors) == 0) {
		one.known = value
	}
}

// identity names a disk that came back empty.
func (one *controller) identity() string { return fmt.Sprintf("%s-%d", one.name, one.life) }
