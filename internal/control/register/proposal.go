package register

import "lemonarch/internal/platform/messages"

// Verdict is what a change function says of the value it was shown.
type Verdict int

// The verdicts.
const (
	// VerdictWrite: write the value that was returned.
	VerdictWrite Verdict = iota
	// VerdictUnchanged: nothing to write, the value as shown answers the request.
	VerdictUnchanged
)

// Change turns the current value into the next one.
type Change func(current messages.RegisterValue) (messages.RegisterValue, Verdict)

// Stage is where a proposal stands.
type Stage int

// The stages.
const (
	StagePrepare Stage = iota
	StageAccept
	StageDone
	// StageLost: a higher ballot or a newer set was met; begin again.
	StageLost
)

// Send is one message of a proposal to a member.
type Send struct {
	Member  messages.Member
	Prepare *messages.PrepareRequest
	Accept  *messages.AcceptRequest
}

// Proposal is one attempt to read or change the register.
type Proposal struct {
	ballot   messages.Ballot
	known    messages.RegisterValue
	change   Change
	stage    Stage
	promises map[string]messages.PrepareResponse
	answered map[string]bool
	next     messages.RegisterValue
	highest  messages.Ballot
	newer    *messages.RegisterValue
	// finishedOther says that the second round only finishes what was found, and that
	// the change has to be proposed again on top of it.
	finishedOther bool
}

// NewProposal opens an attempt against the sets of the newest value known.
func NewProposal(ballot messages.Ballot, known messages.RegisterValue, change Change) (*Proposal, []Send) {
	proposal := &Proposal{ballot: ballot, known: known, change: change, highest: ballot,
		promises: map[string]messages.PrepareResponse{}, answered: map[string]bool{}}
	var sends []Send
	for _, member := range Targets(&known) {
		sends = append(sends, Send{Member: member, Prepare: &messages.PrepareRequest{Ballot: ballot, Disk: member.Disk}})
	}
	return proposal, sends
}

// Stage tells where the proposal stands.
func (p *Proposal) Stage() Stage { return p.stage }

// AcceptSent tells whether the second round was begun: from then on the outcome of a
// change without an answer is unclear.
func (p *Proposal) AcceptSent() bool {
	return p.stage == StageAccept || len(p.next.Acceptors) > 0
}

// Highest is the highest ballot met, for the next attempt.
func (p *Proposal) Highest() messages.Ballot { return p.highest }

// Newer is a value with newer sets that was met, if any.
func (p *Proposal) Newer() *messages.RegisterValue { return p.newer }

// Value is the value that is now in force, once done.
func (p *Proposal) Value() messages.RegisterValue { return p.next }

// HandlePrepareResponse takes a response to the first round.
func (p *Proposal) HandlePrepareResponse(member messages.Member, resp messages.PrepareResponse) []Send {
	if p.stage != StagePrepare {
		return nil
	}
	if resp.Value.SetEpoch > p.known.SetEpoch {
		// The sets have moved on: majorities of the old ones decide nothing now.
		value := resp.Value
		p.newer, p.stage = &value, StageLost
		return nil
	}
	if !resp.Granted {
		if Less(p.highest, resp.Promised) {
			p.highest, p.stage = resp.Promised, StageLost
		}
		return nil
	}
	p.promises[Identity(member)] = resp
	p.answered[Identity(member)] = true
	if !Quorum(&p.known, p.answered) {
		return nil
	}
	return p.secondRound()
}

func (p *Proposal) secondRound() []Send {
	current, highest := p.known, messages.Ballot{}
	found := false
	for _, promise := range p.promises {
		if promise.Accepted.Counter > 0 && (!found || Less(highest, promise.Accepted)) {
			// An unfinished value is finished first: it may have been chosen.
			current, highest, found = promise.Value, promise.Accepted, true
		}
	}
	if !found {
		initial, possible := initialValue(&p.known)
		if !possible {
			p.stage = StageLost
			return nil
		}
		current = initial
	}
	next, verdict := p.change(current)
	if verdict == VerdictUnchanged {
		next = current
	}
	if leavesJoint(&current, &next) && !p.choseAt(highest, &current) {
		// A joint set that was accepted somewhere may never have been chosen: members
		// of the old set that never met it could choose something else.
		next, p.finishedOther = current, true
	}
	p.next = next
	p.stage = StageAccept
	p.answered = map[string]bool{}
	var sends []Send
	for _, member := range Targets(&next) {
		sends = append(sends, Send{Member: member, Accept: &messages.AcceptRequest{Ballot: p.ballot, Disk: member.Disk, Value: next}})
	}
	return sends
}

// initialValue gives the register as it is where a quorum holds no value: the first
// set. The sets known may be those of a joint that was accepted somewhere and never
// chosen; its new half counts for nothing then. Sets of a later epoch are built on a
// chosen value, which a quorum of them can't miss.
func initialValue(known *messages.RegisterValue) (initial messages.RegisterValue, possible bool) {
	switch {
	case known.SetEpoch == 0:
		return messages.RegisterValue{Acceptors: known.Acceptors}, true
	case known.SetEpoch == 1 && len(known.Previous) > 0:
		return messages.RegisterValue{Acceptors: known.Previous}, true
	default:
		return messages.RegisterValue{}, false
	}
}

// leavesJoint tells whether a change lets go of the set before.
func leavesJoint(current, next *messages.RegisterValue) bool {
	return len(current.Previous) > 0 && next.SetEpoch != current.SetEpoch
}

// choseAt tells whether the promises show that a value was chosen at a ballot.
func (p *Proposal) choseAt(ballot messages.Ballot, value *messages.RegisterValue) bool {
	holders := map[string]bool{}
	for identity, promise := range p.promises {
		holders[identity] = promise.Accepted == ballot
	}
	return Quorum(value, holders)
}

// FinishedOther tells that a proposal, though done, put nothing of its own in force:
// it finished the change of another, and its own has to be proposed again.
func (p *Proposal) FinishedOther() bool { return p.finishedOther }

// HandleAcceptResponse takes a response to the second round.
func (p *Proposal) HandleAcceptResponse(member messages.Member, resp messages.AcceptResponse) {
	if p.stage != StageAccept {
		return
	}
	if !resp.Granted {
		if Less(p.highest, resp.Promised) {
			p.highest, p.stage = resp.Promised, StageLost
		}
		return
	}
	p.answered[Identity(member)] = true
	if Quorum(&p.next, p.answered) {
		p.stage = StageDone
	}
}

// QuorumRead is a read without a ballot: if a majority holds one and the same ballot and none
// a higher one, its value is in force and nothing needs to be written.
type QuorumRead struct {
	known     messages.RegisterValue
	responses map[string]messages.PrepareResponse
	answered  map[string]bool
	newer     *messages.RegisterValue
}

// Newer is a value with newer sets that was met, if any: to be read at those.
func (r *QuorumRead) Newer() *messages.RegisterValue { return r.newer }

// NewQuorumRead opens a read without a ballot.
func NewQuorumRead(known messages.RegisterValue) (*QuorumRead, []Send) {
	reading := &QuorumRead{known: known, responses: map[string]messages.PrepareResponse{}, answered: map[string]bool{}}
	var sends []Send
	for _, member := range Targets(&known) {
		sends = append(sends, Send{Member: member, Prepare: &messages.PrepareRequest{Disk: member.Disk, Query: true}})
	}
	return reading, sends
}

// HandlePrepareResponse takes an answer; settled means that no more are needed, and the value is
// nil where a full round has to decide.
func (r *QuorumRead) HandlePrepareResponse(member messages.Member, resp messages.PrepareResponse) (value *messages.RegisterValue, decided bool) {
	if resp.Value.SetEpoch > r.known.SetEpoch {
		newer := resp.Value
		r.newer = &newer
		return nil, true
	}
	if !resp.Granted {
		return nil, false
	}
	r.responses[Identity(member)] = resp
	r.answered[Identity(member)] = true
	if !Quorum(&r.known, r.answered) {
		return nil, false
	}
	var newest messages.Ballot
	for _, response := range r.responses {
		if Less(newest, response.Accepted) {
			newest = response.Accepted
		}
	}
	same := map[string]bool{}
	var found messages.RegisterValue
	for identity, response := range r.responses {
		if response.Accepted == newest {
			same[identity] = true
			found = response.Value
		}
	}
	if !Quorum(&r.known, same) || (newest.Counter > 0 && found.SetEpoch != r.known.SetEpoch) {
		return nil, len(r.answered) == len(Targets(&r.known))
	}
	return &found, true
}
