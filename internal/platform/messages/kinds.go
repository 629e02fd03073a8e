// Package messages defines the messages between processes and the enums that they use. The code
// that encodes and decodes them is generated.
package messages

//go:generate go tool msgp -o members_gen.go -file members.go -tests=false -io=false
//go:generate go tool msgp -o views_gen.go -file views.go -tests=false -io=false
//go:generate go tool msgp -o jobs_gen.go -file jobs.go -tests=false -io=false
//go:generate go tool msgp -o dispatch_gen.go -file dispatch.go -tests=false -io=false
//go:generate go tool msgp -o plans_gen.go -file plans.go -tests=false -io=false
//go:generate go tool msgp -o contact_gen.go -file contact.go -tests=false -io=false
//go:generate go tool msgp -o kinds_gen.go -file kinds.go -tests=false -io=false
//go:generate go tool stringer -type=Kind,Phase,RecordKind,RouteKind,AckKind,AckVerdict -output=kinds_string.go

// Kind identifies the type of a message between processes.
type Kind uint16

// The kinds. New ones are added at the end. Messages of unknown kinds are skipped and counted.
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

// Phase is a phase in the life cycle of a worker.
type Phase uint8

// The phases, in the order in which an incarnation goes through them.
const (
	PhaseSteady Phase = iota
	PhaseDraining
	PhaseDeparted
)

// RecordKind identifies the type of a record of batch jobs.
type RecordKind uint8

// The record kinds.
const (
	RecordNoop RecordKind = iota
	RecordJob
	RecordOutput
	RecordJobEnd
	RecordForget
	// RecordItemError means that an acquisition of an item ended with a 500, which counts as a
	// failed attempt.
	RecordItemError
	// RecordExecutor means that an incarnation of an executor may have acquisitions of this epoch.
	RecordExecutor
	// RecordAcquisitionsKnown means that every acquisition of an earlier epoch that is still in
	// force was adopted by this epoch.
	RecordAcquisitionsKnown
)

// RouteKind determines which requests of a route may be retried.
type RouteKind uint8

// The route kinds.
const (
	RouteIdempotent RouteKind = iota
	RouteEffectful
	RouteStreaming
	RouteBulk
)

// AckKind is the kind of an executor's acknowledgement of an acquisition.
type AckKind uint8

// The kinds of acknowledgement, named as in the source of the design.
const (
	AckAccept AckKind = iota
	AckRelease
	AckReject
	AckRenew
	// AckConfirm asks whether an ACCEPT that was sent before is recorded. It contains no output.
	AckConfirm
)

// AckVerdict is the dispatcher's response to one acknowledgement.
type AckVerdict uint8

// The verdicts.
const (
	// AckUnknown means that there is no result yet. The executor repeats the acknowledgement.
	AckUnknown AckVerdict = iota
	// AckRecorded means that the acknowledgement is recorded, durably if that is required.
	AckRecorded
	// AckRenewed means that the lock was renewed for its full length.
	AckRenewed
	// AckStopped means that the acquisition has ended. The run must stop.
	AckStopped
	// AckTerminal means that the item ended in another way, or that its job ended.
	AckTerminal
	// AckOutputNeeded means that the ACCEPT in question is unknown. The executor has to send it
	// again.
	AckOutputNeeded
)
