package messages

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// message is implemented by the generated code of each message.
type message interface {
	msgp.Marshaler
	msgp.Unmarshaler
}

// goldenMessages creates an empty message for each line of testdata/golden.txt. The keys are the
// names of the messages at the time the file was made. They stay when a Go name changes, since the
// file does.
var goldenMessages = map[string]func() message{
	"Accept":          func() message { return new(AcceptRequest) },
	"Accepted":        func() message { return new(AcceptResponse) },
	"AcceptorRecord":  func() message { return new(AcceptorRecord) },
	"AckKind":         func() message { return new(AckKind) },
	"AckVerdict":      func() message { return new(AckVerdict) },
	"Acknowledge":     func() message { return new(AcknowledgeRequest) },
	"Acknowledged":    func() message { return new(AcknowledgeResponse) },
	"Acknowledgement": func() message { return new(Acknowledgement) },
	"Acquire":         func() message { return new(AcquireRequest) },
	"Acquired":        func() message { return new(AcquireResponse) },
	"AcquiredItem":    func() message { return new(AcquiredItem) },
	"Append":          func() message { return new(AppendRequest) },
	"Appended":        func() message { return new(AppendResponse) },
	"ArchiveAnswer":   func() message { return new(ArchiveResponse) },
	"ArchiveChunk":    func() message { return new(ArchiveChunk) },
	"ArchiveHead":     func() message { return new(ArchiveHead) },
	"ArchiveQuestion": func() message { return new(ArchiveRequest) },
	"Ballot":          func() message { return new(Ballot) },
	"ChainDigest":     func() message { return new(ChainDigest) },
	"ConfigPull":      func() message { return new(ConfigPull) },
	"ConfigPush":      func() message { return new(ConfigPush) },
	"ContactAsk":      func() message { return new(ContactRequest) },
	"ContactTold":     func() message { return new(ContactResponse) },
	"ControllerBeat":  func() message { return new(ControllerHeartbeat) },
	"CopyOrder":       func() message { return new(CopyRequest) },
	"Digest":          func() message { return new(Digest) },
	"DirectoryPull":   func() message { return new(DirectoryPullRequest) },
	"DriverAt":        func() message { return new(ExecutorInfo) },
	"Duty":            func() message { return new(Leadership) },
	"DutyChange":      func() message { return new(RegisterChangeRequest) },
	"DutyChanged":     func() message { return new(RegisterResponse) },
	"Entry":           func() message { return new(NodeInfo) },
	"Fetch":           func() message { return new(FetchRequest) },
	"Fetched":         func() message { return new(FetchResponse) },
	"Gossip":          func() message { return new(Gossip) },
	"Headcount":       func() message { return new(RoleCount) },
	"HoldAnswer":      func() message { return new(LeaseResponse) },
	"HoldAsk":         func() message { return new(LeaseRequest) },
	"HolderTold":      func() message { return new(LeaderAnnouncement) },
	"Kind":            func() message { return new(Kind) },
	"LotAnswer":       func() message { return new(JobCallResponse) },
	"LotBody":         func() message { return new(JobBody) },
	"LotCall":         func() message { return new(JobCallRequest) },
	"LotItem":         func() message { return new(JobItem) },
	"Member":          func() message { return new(Member) },
	"NamedAccept":     func() message { return new(NamedAcceptRequest) },
	"NamedAsk":        func() message { return new(NamedReadRequest) },
	"NamedPrepare":    func() message { return new(NamedPrepareRequest) },
	"Nothing":         func() message { return new(Ack) },
	"Overdue":         func() message { return new(Overdue) },
	"Phase":           func() message { return new(Phase) },
	"PlanApplied":     func() message { return new(PlanApplyResponse) },
	"PlanApply":       func() message { return new(PlanApplyRequest) },
	"PlanPlace":       func() message { return new(PlanPlacement) },
	"PlanPull":        func() message { return new(PlanRequest) },
	"PlanTold":        func() message { return new(PlanResponse) },
	"PlanValue":       func() message { return new(PlanValue) },
	"PlanWindow":      func() message { return new(PlanWindow) },
	"Prepare":         func() message { return new(PrepareRequest) },
	"Pressure":        func() message { return new(Pressure) },
	"PressureTold":    func() message { return new(PressureNotice) },
	"Promise":         func() message { return new(PrepareResponse) },
	"Raise":           func() message { return new(FenceRequest) },
	"Raised":          func() message { return new(FenceResponse) },
	"ReadingTold":     func() message { return new(PrefillNotice) },
	"Record":          func() message { return new(Record) },
	"RecordKind":      func() message { return new(RecordKind) },
	"Register":        func() message { return new(RegisterValue) },
	"Relay":           func() message { return new(RelayRequest) },
	"RelayDone":       func() message { return new(RelayWaitResponse) },
	"RelayWait":       func() message { return new(RelayWaitRequest) },
	"ReplicaRecord":   func() message { return new(ReplicaRecord) },
	"Residency":       func() message { return new(Residency) },
	"RosterPull":      func() message { return new(WorkersPullRequest) },
	"RosterPush":      func() message { return new(WorkersUpdate) },
	"RouteKind":       func() message { return new(RouteKind) },
	"ServiceRoom":     func() message { return new(ServiceCapacity) },
	"Shuffle":         func() message { return new(Shuffle) },
	"Sought":          func() message { return new(VersionStatus) },
	"Status":          func() message { return new(StatusResponse) },
	"StatusAsk":       func() message { return new(StatusRequest) },
	"StopRuns":        func() message { return new(StopJobRequest) },
	"Stretch":         func() message { return new(EpochRange) },
	"Version":         func() message { return new(Version) },
	"Worker":          func() message { return new(Worker) },
	"WorkersKeep":     func() message { return new(WorkersPersistRequest) },
	"WorkersRecall":   func() message { return new(WorkersRecoverRequest) },
	"WorkersRecalled": func() message { return new(WorkersRecoverResponse) },
}

// readGolden returns the encoded messages by the name that they had when the file was made.
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
			t.Fatalf("decode the hex form of %s: %v", name, err)
		}
		golden[name] = body
	}
	return golden
}

// TestGoldenMessages decodes each message as encoded by an earlier version, with all fields set, and
// encodes it to the same bytes. It guards against a change of a tag or of a field's encoding, with
// which processes of different versions could not communicate, or files in data-dir could not be
// read.
func TestGoldenMessages(t *testing.T) {
	golden := readGolden(t)
	for name, body := range golden {
		t.Run(name, func(t *testing.T) {
			create := goldenMessages[name]
			if create == nil {
				t.Fatal("no message type for this golden form")
			}
			decoded := create()
			rest, err := decoded.UnmarshalMsg(body)
			if err != nil || len(rest) > 0 {
				t.Fatalf("decode: %v, %d bytes left, want 0", err, len(rest))
			}
			again, err := decoded.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(again, body) {
				t.Errorf("golden form %x, encoded as %x", body, again)
			}
		})
	}
	for name := range goldenMessages {
		if golden[name] == nil {
			t.Errorf("%s has no golden form", name)
		}
	}
}

// TestGoldenNumbers checks the numbers of kinds and enums, which are used on the wire and on disk.
func TestGoldenNumbers(t *testing.T) {
	kinds := []Kind{KindNone, KindShuffle, KindPrepare, KindAccept, KindLease, KindConfigPush, KindConfigPull, KindWorkersUpdate,
		KindWorkersPull, KindGossip, KindJobCall, KindFence, KindAppend, KindFetch, KindLeaderAnnouncement, KindStatus,
		KindRegisterRead, KindRegisterChange, KindPressure, KindPrefill, KindControllerHeartbeat, KindDirectoryPull, KindRelay,
		KindRelayWait, KindAcquire, KindAcknowledge, KindStopJob, KindNamedPrepare, KindNamedAccept, KindNamedRead,
		KindPlanPull, KindPlanApply, KindCopy, KindContact, KindWorkersPersist, KindWorkersRecover,
		KindTrafficSummary, KindZoneTraffic, KindAppendForwarded}
	checkNumbers(t, kinds)
	checkNumbers(t, []Phase{PhaseSteady, PhaseDraining, PhaseDeparted})
	checkNumbers(t, []RecordKind{RecordNoop, RecordJob, RecordOutput, RecordJobEnd, RecordForget, RecordItemError, RecordExecutor, RecordAcquisitionsKnown})
	checkNumbers(t, []RouteKind{RouteIdempotent, RouteEffectful, RouteStreaming, RouteBulk})
	checkNumbers(t, []AckKind{AckAccept, AckRelease, AckReject, AckRenew, AckConfirm})
	checkNumbers(t, []AckVerdict{AckUnknown, AckRecorded, AckRenewed, AckStopped, AckTerminal, AckOutputNeeded})
	checkNumbers(t, []VersionStatus{VersionUnknown, VersionCommitted, VersionNeverCommitted})
}

// checkNumbers fails unless the values count up from zero.
func checkNumbers[Enum ~uint8 | ~uint16](t *testing.T, values []Enum) {
	t.Helper()
	for i, value := range values {
		if int(value) != i {
			t.Errorf("%T: value at position %d is %d, want the position", value, i, value)
		}
	}
}
