package register

import "lemonarch/internal/platform/messages"

// Verdict is the decision of a change function about the current value.
type Verdict int

// The verdicts of a change function.
const (
	// VerdictWrite means that the returned value has to be written.
	VerdictWrite Verdict = iota
	// VerdictUnchanged means that nothing has to be written: the current value is the result.
	VerdictUnchanged
)

// Change computes the next value from the current one.
type Change func(current messages.RegisterValue) (messages.RegisterValue, Verdict)

// Stage is the state of a proposal.
type Stage int

// The stages of a proposal.
const (
	StagePrepare Stage = iota
	StageAccept
	StageDone
	// StageLost means that a higher ballot or newer sets were seen, or no value is usable: retry.
	StageLost
)

// Send is one message of a proposal to a member. Either Prepare or Accept is set.
type Send struct {
	Member  messages.Member
	Prepare *messages.PrepareRequest
	Accept  *messages.AcceptRequest
}

// Proposal is one attempt to read or change the register.
type Proposal struct {
	ballot    messages.Ballot
	known     messages.RegisterValue
	change    Change
	stage     Stage
	promises  map[string]messages.PrepareResponse
	responded map[string]bool
	next      messages.RegisterValue
	highest   messages.Ballot
	newer     *messages.RegisterValue
	// finishedOther is set if the second round only completes a value that was found: the change
	// has to be proposed again on top of it.
	finishedOther bool
}

// NewProposal starts an attempt at the newest known sets, and returns the first-round messages.
func NewProposal(ballot messages.Ballot, known messages.RegisterValue, change Change) (*Proposal, []Send) {
	proposal := &Proposal{ballot: ballot, known: known, change: change, highest: ballot,
		promises: map[string]messages.PrepareResponse{}, responded: map[string]bool{}}
	var sends []Send
	for _, member := range Targets(&known) {
		sends = append(sends, Send{Member: member, Prepare: &messages.PrepareRequest{Ballot: ballot, Disk: member.Disk}})
	}
	return proposal, sends
}

// Stage returns the state of the proposal.
func (p *Proposal) Stage() Stage { return p.stage }

// AcceptSent reports whether the second round was started, so that the outcome may be unknown.
func (p *Proposal) AcceptSent() bool {
	return p.stage == StageAccept || len(p.next.Acceptors) > 0
}

// Highest returns the highest ballot seen, for the next attempt.
func (p *Proposal) Highest() messages.Ballot { return p.highest }

// Newer returns a value with newer sets that an acceptor reported, or nil.
func (p *Proposal) Newer() *messages.RegisterValue { return p.newer }

// Value returns the value that is in force once the proposal is done.
func (p *Proposal) Value() messages.RegisterValue { return p.next }

// HandlePrepareResponse handles a response of the first round. Once there is a quorum, it returns
// the messages of the second round.
func (p *Proposal) HandlePrepareResponse(member messages.Member, resp messages.PrepareResponse) []Send {
	if p.stage != StagePrepare {
		return nil
	}
	if resp.Value.SetEpoch > p.known.SetEpoch {
		// There are newer sets, so majorities of the old ones no longer decide anything.
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
	p.responded[Identity(member)] = true
	if !Quorum(&p.known, p.responded) {
		return nil
	}
	return p.secondRound()
}

func (p *Proposal) secondRound() []Send {
	current, highest := p.known, messages.Ballot{}
	found := false
	for _, promise := range p.promises {
		if promise.Accepted.Counter > 0 && (!found || Less(highest, promise.Accepted)) {
			// An unfinished value is completed first, because it may have been chosen.
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
		// A joint set accepted by some member may never have been chosen: members of the old set
		// that did not receive it could choose another value.
		next, p.finishedOther = current, true
	}
	p.next = next
	p.stage = StageAccept
	p.responded = map[string]bool{}
	var sends []Send
	for _, member := range Targets(&next) {
		sends = append(sends, Send{Member: member, Accept: &messages.AcceptRequest{Ballot: p.ballot, Disk: member.Disk, Value: next}})
	}
	return sends
}

// initialValue returns the register with its first set, which is in force if no member of a quorum
// has accepted a value. The known sets may be those of a joint set that some member accepted and
// that was never chosen; its new set is ignored then. Sets of a later epoch are based on a chosen
// value, which a quorum of them cannot miss, so possible is false for them.
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

// leavesJoint reports whether a change removes the previous set.
func leavesJoint(current, next *messages.RegisterValue) bool {
	return len(current.Previous) > 0 && next.SetEpoch != current.SetEpoch
}

// choseAt reports whether the promises show that a value was chosen at a ballot.
func (p *Proposal) choseAt(ballot messages.Ballot, value *messages.RegisterValue) bool {
	accepted := map[string]bool{}
	for identity, promise := range p.promises {
		accepted[identity] = promise.Accepted == ballot
	}
	return Quorum(value, accepted)
}

// FinishedOther reports whether a proposal that is done only completed an earlier value; its own
// change has to be proposed again.
func (p *Proposal) FinishedOther() bool { return p.finishedOther }

// HandleAcceptResponse handles a response of the second round.
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
	p.responded[Identity(member)] = true
	if Quorum(&p.next, p.responded) {
		p.stage = StageDone
	}
}

// QuorumRead is a read without a ballot: if a majority reports the same accepted ballot and none a
// higher one, its value is in force and nothing needs to be written.
type QuorumRead struct {
	known     messages.RegisterValue
	responses map[string]messages.PrepareResponse
	responded map[string]bool
	newer     *messages.RegisterValue
}

// Newer returns a value with newer sets, at which to repeat the read, or nil.
func (r *QuorumRead) Newer() *messages.RegisterValue { return r.newer }

// NewQuorumRead starts a read without a ballot, and returns its messages.
func NewQuorumRead(known messages.RegisterValue) (*QuorumRead, []Send) {
	read := &QuorumRead{known: known, responses: map[string]messages.PrepareResponse{}, responded: map[string]bool{}}
	var sends []Send
	for _, member := range Targets(&known) {
		sends = append(sends, Send{Member: member, Prepare: &messages.PrepareRequest{Disk: member.Disk, Query: true}})
	}
	return read, sends
}

// HandlePrepareResponse handles a response. decided reports that no more responses are needed;
// value is nil if a proposal, or a read at newer sets, has to decide.
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
	r.responded[Identity(member)] = true
	if !Quorum(&r.known, r.responded) {
		return nil, false
	}
	var newest messages.Ballot
	for _, response := range r.responses {
		if Less(newest, response.Accepted) {
			newest = response.Accepted
		}
	}
	matching := map[string]bool{}
	var found messages.RegisterValue
	for identity, response := range r.responses {
		if response.Accepted == newest {
			matching[identity] = true
			found = response.Value
		}
	}
	if !Quorum(&r.known, matching) || (newest.Counter > 0 && found.SetEpoch != r.known.SetEpoch) {
		return nil, len(r.responded) == len(Targets(&r.known))
	}
	return &found, true
}
