// Package messages holds the messages between our processes and the enums they use.
// The code that writes and reads them is generated.
package messages

//go:generate go tool msgp -o members_gen.go -file members.go -tests=false -io=false
//go:generate go tool msgp -o views_gen.go -file views.go -tests=false -io=false
//go:generate go tool msgp -o jobs_gen.go -file jobs.go -tests=false -io=false
//go:generate go tool msgp -o dispatch_gen.go -file dispatch.go -tests=false -io=false
//go:generate go tool msgp -o plans_gen.go -file plans.go -tests=false -io=false
//go:generate go tool msgp -o contact_gen.go -file contact.go -tests=false -io=false
//go:generate go tool msgp -o kinds_gen.go -file kinds.go -tests=false -io=false
//go:generate go tool stringer -type=Kind,Phase,RecordKind,RouteKind,AckKind,AckVerdict -output=kinds_string.go

// Kind names a message between our processes.
type Kind uint16

// The kinds. New ones are added at the end; unknown ones are skipped and counted.
const (
	KindNone Kind = iota
	KindShuffle
	KindPrepare
	KindAccept
	KindLease
	KindConfigPush
	KindConfigPull
	KindWorkersUpdate
	KindWorkersPull
	KindGossip
	KindJobCall
	KindFence
	KindAppend
	KindFetch
	KindLeaderAnnouncement
	KindStatus
	KindRegisterRead
	KindRegisterChange
	KindPressure
	KindPrefill
	KindControllerHeartbeat
	KindDirectoryPull
	KindRelay
	KindRelayWait
	KindAcquire
	KindAcknowledge
	KindStopJob
	KindNamedPrepare
	KindNamedAccept
	KindNamedRead
	KindPlanPull
	KindPlanApply
	KindCopy
	KindContact
	KindWorkersPersist
	KindWorkersRecover
	KindTrafficSummary
	KindZoneTraffic
	KindAppendForwarded
)

// Phase is a worker's phase.
type Phase uint8

// The phases, in the order in which an incarnation goes through them.
const (
	PhaseSteady Phase = iota
	PhaseDraining
	PhaseDeparted
)

// RecordKind names a record of batch jobs.
type RecordKind uint8

// The record kinds.
const (
	RecordNoop RecordKind = iota
	RecordJob
	RecordOutput
	RecordJobEnd
	RecordForget
	// RecordItemError: an acquisition of an item ended with a 500, which counts.
	RecordItemError
	// RecordExecutor: a driver's life may hold acquisitions of this epoch.
	RecordExecutor
	// RecordAcquisitionsKnown: no acquisition of an earlier epoch stands that was not adopted.
	RecordAcquisitionsKnown
)

// RouteKind says what may be repeated.
type RouteKind uint8

// The route kinds.
const (
	RouteIdempotent RouteKind = iota
	RouteEffectful
	RouteStreaming
	RouteBulk
)

// AckKind is a driver's acknowledgement of an acquisition.
type AckKind uint8

// The acknowledgements, named as in the source.
const (
	AckAccept AckKind = iota
	AckRelease
	AckReject
	AckRenew
	// AckConfirm asks whether an ACCEPT that was sent before is recorded, without its output.
	AckConfirm
)

// AckVerdict is what the dispatcher says to one.
type AckVerdict uint8

// The verdicts.
const (
	// AckUnknown: nothing is known; the driver repeats it.
	AckUnknown AckVerdict = iota
	// AckRecorded: recorded, durably where it has to be.
	AckRecorded
	// AckRenewed: the lock runs anew.
	AckRenewed
	// AckStopped: the acquisition is over; the run must stop.
	AckStopped
	// AckTerminal: the item ended otherwise, or its job did.
	AckTerminal
	// AckOutputNeeded: nothing is known of an ACCEPT that is asked about; it is to be sent again.
	AckOutputNeeded
)
