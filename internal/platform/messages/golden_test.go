package messages

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// message is what the code generator gives each message.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// goldenMessages makes an empty message for each line of testdata/golden.txt. The keys
// are the names that the messages had when that file was made, before a Go name was
// changed; they stay, since the file does.
var goldenMessages = map[string]func() message{
	"Accept":          func() message { return new(Accept) },
	"Accepted":        func() message { return new(Accepted) },
	"AcceptorRecord":  func() message { return new(AcceptorRecord) },
	"AckKind":         func() message { return new(AckKind) },
	"AckVerdict":      func() message { return new(AckVerdict) },
	"Acknowledge":     func() message { return new(Acknowledge) },
	"Acknowledged":    func() message { return new(Acknowledged) },
	"Acknowledgement": func() message { return new(Acknowledgement) },
	"Acquire":         func() message { return new(Acquire) },
	"Acquired":        func() message { return new(Acquired) },
	"AcquiredItem":    func() message { return new(AcquiredItem) },
	"Append":          func() message { return new(Append) },
	"Appended":        func() message { return new(Appended) },
	"ArchiveAnswer":   func() message { return new(ArchiveAnswer) },
	"ArchiveChunk":    func() message { return new(ArchiveChunk) },
	"ArchiveHead":     func() message { return new(ArchiveHead) },
	"ArchiveQuestion": func() message { return new(ArchiveQuestion) },
	"Ballot":          func() message { return new(Ballot) },
	"ChainDigest":     func() message { return new(ChainDigest) },
	"ConfigPull":      func() message { return new(ConfigPull) },
	"ConfigPush":      func() message { return new(ConfigPush) },
	"ContactAsk":      func() message { return new(ContactAsk) },
	"ContactTold":     func() message { return new(ContactTold) },
	"ControllerBeat":  func() message { return new(ControllerBeat) },
	"CopyOrder":       func() message { return new(CopyOrder) },
	"Digest":          func() message { return new(Digest) },
	"DirectoryPull":   func() message { return new(DirectoryPull) },
	"DriverAt":        func() message { return new(DriverAt) },
	"Duty":            func() message { return new(Duty) },
	"DutyChange":      func() message { return new(DutyChange) },
	"DutyChanged":     func() message { return new(DutyChanged) },
	"Entry":           func() message { return new(Entry) },
	"Fetch":           func() message { return new(Fetch) },
	"Fetched":         func() message { return new(Fetched) },
	"Gossip":          func() message { return new(Gossip) },
	"Headcount":       func() message { return new(Headcount) },
	"HoldAnswer":      func() message { return new(HoldAnswer) },
	"HoldAsk":         func() message { return new(HoldAsk) },
	"HolderTold":      func() message { return new(HolderTold) },
	"Kind":            func() message { return new(Kind) },
	"LotAnswer":       func() message { return new(LotAnswer) },
	"LotBody":         func() message { return new(LotBody) },
	"LotCall":         func() message { return new(LotCall) },
	"LotItem":         func() message { return new(LotItem) },
	"Member":          func() message { return new(Member) },
	"NamedAccept":     func() message { return new(NamedAccept) },
	"NamedAsk":        func() message { return new(NamedAsk) },
	"NamedPrepare":    func() message { return new(NamedPrepare) },
	"Nothing":         func() message { return new(Nothing) },
	"Overdue":         func() message { return new(Overdue) },
	"Phase":           func() message { return new(Phase) },
	"PlanApplied":     func() message { return new(PlanApplied) },
	"PlanApply":       func() message { return new(PlanApply) },
	"PlanPlace":       func() message { return new(PlanPlace) },
	"PlanPull":        func() message { return new(PlanPull) },
	"PlanTold":        func() message { return new(PlanTold) },
	"PlanValue":       func() message { return new(PlanValue) },
	"PlanWindow":      func() message { return new(PlanWindow) },
	"Prepare":         func() message { return new(Prepare) },
	"Pressure":        func() message { return new(Pressure) },
	"PressureTold":    func() message { return new(PressureTold) },
	"Promise":         func() message { return new(Promise) },
	"Raise":           func() message { return new(Raise) },
	"Raised":          func() message { return new(Raised) },
	"ReadingTold":     func() message { return new(ReadingTold) },
	"Record":          func() message { return new(Record) },
	"RecordKind":      func() message { return new(RecordKind) },
	"Register":        func() message { return new(Register) },
	"Relay":           func() message { return new(Relay) },
	"RelayDone":       func() message { return new(RelayDone) },
	"RelayWait":       func() message { return new(RelayWait) },
	"ReplicaRecord":   func() message { return new(ReplicaRecord) },
	"Residency":       func() message { return new(Residency) },
	"RosterPull":      func() message { return new(RosterPull) },
	"RosterPush":      func() message { return new(RosterPush) },
	"RouteKind":       func() message { return new(RouteKind) },
	"ServiceRoom":     func() message { return new(ServiceRoom) },
	"Shuffle":         func() message { return new(Shuffle) },
	"Sought":          func() message { return new(Sought) },
	"Status":          func() message { return new(Status) },
	"StatusAsk":       func() message { return new(StatusAsk) },
	"StopRuns":        func() message { return new(StopRuns) },
	"Stretch":         func() message { return new(Stretch) },
	"Version":         func() message { return new(Version) },
	"Worker":          func() message { return new(Worker) },
	"WorkersKeep":     func() message { return new(WorkersKeep) },
	"WorkersRecall":   func() message { return new(WorkersRecall) },
	"WorkersRecalled": func() message { return new(WorkersRecalled) },
}

// readGolden gives the encoded messages by the name they had when the file was made.
func readGolden(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/golden.txt")
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, encoded, _ := strings.Cut(strings.TrimSpace(line), " ")
		body, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatal(name, err)
		}
		golden[name] = body
	}
	return golden
}

// TestGoldenMessages reads each message as an earlier version wrote it, with all fields
// set, and writes the same bytes again: a tag or the form of a field that changed would
// cut a mixed fleet in two, or leave a file of data-dir unread.
func TestGoldenMessages(t *testing.T) {
	golden := readGolden(t)
	for name, body := range golden {
		t.Run(name, func(t *testing.T) {
			create := goldenMessages[name]
			if create == nil {
				t.Fatal("no message reads it")
			}
			decoded := create()
			rest, err := decoded.UnmarshalMsg(body)
			if err != nil || len(rest) > 0 {
				t.Fatalf("not read: %v, %d bytes left", err, len(rest))
			}
			again, err := decoded.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, body) {
				t.Errorf("was %x, is %x", body, again)
			}
		})
	}
	for name := range goldenMessages {
		if golden[name] == nil {
			t.Errorf("%s has no golden form", name)
		}
	}
}

// TestGoldenNumbers holds the numbers of kinds and enums, which stand on the wire and on
// disk.
func TestGoldenNumbers(t *testing.T) {
	kinds := []Kind{KindNone, KindShuffle, KindPrepare, KindAccept, KindAsk, KindConfigPush, KindConfigPull, KindRosterPush,
		KindRosterPull, KindGossip, KindLotCall, KindRaise, KindAppend, KindFetch, KindHolderTold, KindStatus,
		KindRegisterRead, KindDutyChange, KindPressure, KindReading, KindControllerBeat, KindDirectoryPull, KindRelay,
		KindRelayWait, KindAcquire, KindAcknowledge, KindStopRuns, KindNamedPrepare, KindNamedAccept, KindNamedRead,
		KindPlanPull, KindPlanApply, KindCopy, KindContact, KindWorkersKeep, KindWorkersRecall}
	checkNumbers(t, kinds)
	checkNumbers(t, []Phase{PhaseSteady, PhaseDraining, PhaseGone})
	checkNumbers(t, []RecordKind{RecordNothing, RecordLot, RecordOutput, RecordEnd, RecordForget, RecordErr, RecordDriver, RecordSure})
	checkNumbers(t, []RouteKind{RouteIdempotent, RouteEffectful, RouteStreaming, RouteBulk})
	checkNumbers(t, []AckKind{AckAccept, AckRelease, AckReject, AckRenew})
	checkNumbers(t, []AckVerdict{AckUnknown, AckTaken, AckRenewed, AckStopped, AckTerminal})
	checkNumbers(t, []Sought{SoughtUnknown, SoughtTaken, SoughtNever})
}

// checkNumbers fails unless the values count up from zero.
func checkNumbers[Enum ~uint8 | ~uint16](t *testing.T, values []Enum) {
	t.Helper()
	for i, value := range values {
		if int(value) != i {
			t.Errorf("%T: value at %d is %d", value, i, value)
		}
	}
}
