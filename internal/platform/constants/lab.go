package constants

import "time"

// The lab: settings of the emulated workers, of the fleets on loopback, and of the load on them.
// None of them describes a real machine.
const (
	// EmulatorEventLimit is the maximum number of engine steps after a late timer, so that a
	// stalled machine does not spin.
	EmulatorEventLimit = 1000
	// EmulatorOutLimit is the maximum number of tokens that one request may ask for.
	EmulatorOutLimit = 1 << 20
	// EmulatorRunLimit is the maximum number of runs that a record contains, at 200 bytes each.
	EmulatorRunLimit = 200_000
	// EmulatorIdle is the time after which an idle connection to an emulated worker is closed.
	// The Keep-Alive header states it in whole seconds.
	EmulatorIdle = 10 * time.Second
	// EmulatorHeartbeatWait is how long a worker waits for the response to a call (PROTOCOL).
	EmulatorHeartbeatWait = time.Second
	// EmulatorHeartbeatBytes is the maximum size in bytes of a response that a worker reads
	// (PROTOCOL).
	EmulatorHeartbeatBytes = 4 << 10
	// EmulatorRedirects is the maximum number of 307 responses that a caller follows (PROTOCOL).
	EmulatorRedirects = 2
	// EmulatorWarmupSlow is the factor by which a step takes longer during the warm-up.
	EmulatorWarmupSlow = 2
	// EmulatorReportAge is the age of the state in a report (PROTOCOL: some hundred ms).
	EmulatorReportAge = 200 * time.Millisecond
	// EmulatorLeaveSlack is how much longer than drain-ms a draining worker serves.
	EmulatorLeaveSlack = 300 * time.Millisecond

	// The ports of a lab fleet. Every node has a loopback address of its own, so all nodes use
	// the same ports. All are below the kernel's ephemeral port range.
	LabIngressPort  = 7101
	LabReadyPort    = 7102
	LabControlPort  = 7103
	LabEndpointPort = 7100
	LabWorkerPort   = 7110
	LabInternalPort = 7660
	// LabNetwork is the default of the first three bytes of the addresses.
	LabNetwork = "127.0.71"
	// LabEndpointHost, LabEdgeHost, LabStoreHost and LabWorkerHost are the last byte of the
	// first address of each kind.
	LabEndpointHost = 1
	LabEdgeHost     = 11
	LabStoreHost    = 61
	LabWorkerHost   = 101
	// LabNetworkHosts is how many edge machines each of the networks behind the first one has.
	LabNetworkHosts = 200

	// LabStartLimit is the time after which a fleet that does not serve has failed to start.
	LabStartLimit = 30 * time.Second
	// LabRetry is the pause between two checks of something that is starting.
	LabRetry = 100 * time.Millisecond
	// LabGrace is the time between SIGTERM and SIGKILL of a fleet's process.
	LabGrace = 5 * time.Second
	// LabRestart is the minimum pause before a killed process is restarted.
	LabRestart = 500 * time.Millisecond
	// LabProcesses is the maximum number of real processes in one fleet, LabProcessMemory the memory
	// that each is expected to use, and LabMemoryShare the share of the machine's memory that all
	// together may use.
	LabProcesses     = 240
	LabProcessMemory = 48 << 20
	LabMemoryShare   = 0.5
	// LabMemoryMB, LabDiskMB and LabFileHandles are the limits in the settings file of each
	// process if the plan contains none.
	LabMemoryMB    = 256
	LabDiskMB      = 256
	LabFileHandles = 4000
	// LabMemoryMBMax and LabFileHandlesMax are the upper limits of what a plan may grant.
	LabMemoryMBMax    = 4096
	LabFileHandlesMax = 65536
	// LabHeartbeat is the time between two heartbeats of an emulated worker.
	LabHeartbeat = time.Second
	// LabConnLimit is the connection limit of one emulated worker.
	LabConnLimit = 200
	// LabPlainWork is the time that a plain request takes on an idle worker, and LabPlainSlots
	// the number of requests that run concurrently.
	LabPlainWork  = 15 * time.Millisecond
	LabPlainSlots = 6
	// LabStep is the time of one token, and LabStepEach what each running request adds. They are
	// large enough for a machine's timers to keep up with a hundred workers.
	LabStep     = 4 * time.Millisecond
	LabStepEach = 500 * time.Microsecond
	// LabReadPerMs is the prefill rate in prompt tokens per ms, and LabStride the number of
	// tokens in an event.
	LabReadPerMs = 100
	LabStride    = 4
	// LabWarmup is how long a new incarnation is slow.
	LabWarmup = 2 * time.Second
	// LabDrainMs is drain-ms in a fleet's settings.
	LabDrainMs = 2000

	// JobResponseLimit is the maximum size in bytes of a response that is read. A page contains
	// 1 MB of texts (PROTOCOL), and a text may grow sixfold when encoded as JSON.
	JobResponseLimit = 8 << 20
	// JobCallTimeout is the timeout of a call on a job, after which it is retried elsewhere.
	JobCallTimeout = 5 * time.Second
	// JobReadSlack is how long a reader waits for a response in addition to the wait that it
	// requested from the server (PROTOCOL).
	JobReadSlack = 1500 * time.Millisecond

	// LoadCount, LoadTime and LoadRate are the upper limits of a load run: requests, duration,
	// and requests per second.
	LoadCount = 1_000_000
	LoadTime  = time.Hour
	LoadRate  = 5000
	// LoadInFlightMax is the maximum number of requests in flight. Further ones count as not sent.
	LoadInFlightMax = 4000
	// LateResponseValue is the share of a response's value that remains after its latency target.
	LateResponseValue = 0.3
	// LoadProgress is the time between two progress lines.
	LoadProgress = 5 * time.Second
	// LoadDigits is the number of significant digits of the histograms.
	LoadDigits = 3
	// LoadJobSeed is added to the seed for jobs, so that their random sequence differs from that
	// of the requests.
	LoadJobSeed = 7919
	// LoadSessionSeed is added to the seed for the sessions.
	LoadSessionSeed = 15485863
	// SessionOutputTokens is the maximum number of output tokens of a session's streams, and
	// SessionUploadTime the maximum time that its bodies take: up to about 2 s each, in a grace time
	// of LabGrace.
	SessionOutputTokens = 320
	SessionUploadTime   = 2 * time.Second
	// ConfigConverge is converge-ms in a fleet's settings: how long after the acknowledgement of a
	// configuration a read may return an older one.
	ConfigConverge = 2 * time.Second
	// CutSentLimit is how long after the SIGTERM a request may be sent that the end of the grace time
	// may cut (NEWS-22, LOST).
	CutSentLimit = 3 * time.Second
	// LoadPlotSteps is the number of points of a line in a plot, each for half of what the
	// previous one left. LoadLegendWidth is the factor by which the axis is widened for the legend.
	LoadPlotSteps   = 12
	LoadLegendWidth = 5
	// LoadFindings is the maximum number of violated guarantees that a report names. Further
	// ones are counted.
	LoadFindings = 20
	// LoadDrain is how long a run waits for responses and jobs after it has sent everything.
	LoadDrain = 20 * time.Second
	// LoadTimeout is the minimum silence after which a client abandons a stream (PROTOCOL).
	LoadTimeout = 2 * time.Second
	// LoadPollBackoff is the time between two reads of a job (PROTOCOL: about twice a second).
	LoadPollBackoff = 500 * time.Millisecond
)

// Limits of a soak run (tooling/soak).
const (
	// SoakMinDuration is long enough for one fault of a process with a disk, and its repair.
	SoakMinDuration = 15 * time.Second
	// SoakMinProcesses is three controllers, three stores and two gateways.
	SoakMinProcesses = 8
	// SoakQuietEnd is the time at the end of a run without faults. An orderly stop takes LabGrace
	// at most.
	SoakQuietEnd = LabGrace + time.Second
	// SoakSessions is the minimum number of clients that never pause; a large fleet has one for two
	// gateways.
	SoakSessions = 16
	// SoakRolling is the number of gateways that a rolling restart stops in a fleet of up to three times
	// as many.
	SoakRolling = 12
	// SoakPowerLossOdds: one in so many troubles of processes with a disk is the kill of all processes.
	SoakPowerLossOdds = 5
	// SoakRepairTime is the time between two losses of processes with a disk: sync-s of the lab's
	// settings, and the restart before it.
	SoakRepairTime = 8 * time.Second
)
