package quorum

import (
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/transport"
)

// OpenNamed opens the register of that name.
func OpenNamed(disk recordlog.Disk, name string, first []messages.Member, identity string) (*Register, error) {
	localRegister, err := open(disk, logfileName+"-"+name, first, identity)
	if err == nil {
		localRegister.Name = name
	}
	return localRegister, err
}

// prepare gives a message of the first round as it goes to the other acceptors.
func (localRegister *Register) prepare(question *messages.Prepare) (messages.Kind, transport.Writable) {
	if localRegister.Name == "" {
		return messages.KindPrepare, question
	}
	return messages.KindNamedPrepare, &messages.NamedPrepare{Name: localRegister.Name, Prepare: *question}
}

// accept gives a message of the second round.
func (localRegister *Register) accept(question *messages.Accept) (messages.Kind, transport.Writable) {
	if localRegister.Name == "" {
		return messages.KindAccept, question
	}
	return messages.KindNamedAccept, &messages.NamedAccept{Name: localRegister.Name, Accept: *question}
}

// LearnSets takes the sets of a value that came without its body.
func (localRegister *Register) LearnSets(value messages.Register) {
	localRegister.lock.Lock()
	defer localRegister.lock.Unlock()
	if len(value.Acceptors) == 0 {
		return
	}
	if len(localRegister.known.Acceptors) == 0 || value.SetEpoch > localRegister.known.SetEpoch {
		localRegister.known = value
	}
}
