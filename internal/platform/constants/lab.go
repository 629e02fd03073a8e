package constants

import "time"

// The lab: figures of the emulated workers, of the fleets on loopback, and of the
// load on them. All are ours; none describes a real machine.
const (
	// EmulatorEventLimit: most steps of an engine done in one go after a late timer, so
	// that a stalled machine does not spin.
	EmulatorEventLimit = 1000
	// EmulatorOutLimit: most tokens that one request may ask for.
	EmulatorOutLimit = 1 << 20
	// EmulatorRunLimit: runs that a record keeps; 200 bytes each.
	EmulatorRunLimit = 200_000
	// EmulatorIdle: an idle connection to an emulated worker is closed after it, and
	// Keep-Alive says so in whole seconds.
	EmulatorIdle = 10 * time.Second
	// EmulatorHeartbeatWait: how long a worker waits for the answer to a call (protocol).
	EmulatorHeartbeatWait = time.Second
	// EmulatorHeartbeatBytes: the largest answer to a call that a worker reads (protocol).
	EmulatorHeartbeatBytes = 4 << 10
	// EmulatorRedirects: 307s that a caller follows (protocol).
	EmulatorRedirects = 2
	// EmulatorWarmupSlow: how many times as long a step takes during the warm-up.
	EmulatorWarmupSlow = 2
	// EmulatorReportAge: a report tells how things stood so long ago (protocol: some
	// hundred ms).
	EmulatorReportAge = 200 * time.Millisecond
	// EmulatorLeaveSlack: how much longer than drain-ms a leaving worker serves.
	EmulatorLeaveSlack = 300 * time.Millisecond

	// The ports of a lab's fleet: every node has an address of its own on loopback, so
	// ports may be alike. All lie below those that the kernel gives out itself.
	LabIngressPort  = 7101
	LabReadyPort    = 7102
	LabControlPort  = 7103
	LabEndpointPort = 7100
	LabWorkerPort   = 7110
	LabInternalPort = 7660
	// LabNetwork: the first three bytes of the addresses, where none are named.
	LabNetwork = "127.0.71"
	// LabEdgeHost, LabStoreHost, LabWorkerHost: the last byte of the first of each.
	LabEndpointHost = 1
	LabEdgeHost     = 11
	LabStoreHost    = 61
	LabWorkerHost   = 101

	// LabStartLimit: a fleet that does not serve by then has failed to start.
	LabStartLimit = 30 * time.Second
	// LabRetry: pause between two looks at something that is starting.
	LabRetry = 100 * time.Millisecond
	// LabGrace: between SIGTERM and SIGKILL of a fleet's process.
	LabGrace = 5 * time.Second
	// LabRestart: pause before a killed process is started again.
	LabRestart = 500 * time.Millisecond
	// LabProcesses: most real processes in one fleet.
	LabProcesses = 40
	// LabMemoryMB, LabDiskMB and LabFileHandles: what the settings files grant each process
	// where the plan says nothing else.
	LabMemoryMB    = 256
	LabDiskMB      = 256
	LabFileHandles = 4000
	// LabMemoryMBMax and LabFileHandlesMax: the most that a plan may grant.
	LabMemoryMBMax    = 4096
	LabFileHandlesMax = 65536
	// LabHeartbeat: pause between two heartbeats of an emulated worker.
	LabHeartbeat = time.Second
	// LabConnLimit: connections to one emulated worker.
	LabConnLimit = 200
	// LabPlainWork and LabPlainSlots: a plain request's time on an empty worker, and
	// how many run at once.
	LabPlainWork  = 15 * time.Millisecond
	LabPlainSlots = 6
	// LabStep and LabStepEach: time of one token, and what each running request adds.
	// Large enough that a machine's timers keep up with a hundred workers.
	LabStep     = 4 * time.Millisecond
	LabStepEach = 500 * time.Microsecond
	// LabReadPerMs: prompt tokens read in a ms; LabStride: tokens in an event.
	LabReadPerMs = 100
	LabStride    = 4
	// LabWarmup: how long a new incarnation is slow.
	LabWarmup = 2 * time.Second
	// LabDrainMs: drain-ms of a fleet's settings.
	LabDrainMs = 2000

	// JobResponseLimit: the largest answer read; a page holds 1 MB of texts (protocol),
	// and a text may grow sixfold as JSON.
	JobResponseLimit = 8 << 20
	// JobCallTimeout: how long a call on a job may take before it is made elsewhere.
	JobCallTimeout = 5 * time.Second
	// JobReadSlack: how much longer than it allows a reader waits (protocol).
	JobReadSlack = 1500 * time.Millisecond

	// LoadCount, LoadTime, LoadRate: bounds of one load run.
	LoadCount = 1_000_000
	LoadTime  = time.Hour
	LoadRate  = 5000
	// LoadOpen: requests under way at once; what would go beyond is counted as not sent.
	LoadOpen = 4000
	// LoadLate: share of the worth of an answer that comes after its aim.
	LoadLate = 0.3
	// LoadProgress: pause between two lines of progress.
	LoadProgress = 5 * time.Second
	// LoadDigits: significant digits of the histograms.
	LoadDigits = 3
	// LoadJobSeed sets the random draws of jobs apart from those of requests.
	LoadJobSeed = 7919
	// LoadPlotSteps: points of a line in a plot, each for half of what the one before
	// left over; LoadLegendWidth widens the axis for the legend.
	LoadPlotSteps   = 12
	LoadLegendWidth = 5
	// LoadFindings: broken promises that a report names; the others are counted.
	LoadFindings = 20
	// LoadDrain: how long a run waits for responses and jobs once it has sent everything.
	LoadDrain = 20 * time.Second
	// LoadTimeout: a client gives a stream up after this silence at least (protocol).
	LoadTimeout = 2 * time.Second
	// LoadPollBackoff: between two reads of a job (protocol: about twice a second).
	LoadPollBackoff = 500 * time.Millisecond
)

// Bounds of a soak (tooling/soak; ours).
const (
	// SoakMinDuration holds one trouble of a process with a disk, and its repair.
	SoakMinDuration = 15 * time.Second
	// SoakMinProcesses are three controllers, three stores and two gateways.
	SoakMinProcesses = 8
	// SoakQuietEnd is how long nothing more befalls the fleet at the end: a stop in order takes
	// LabGrace at most.
	SoakQuietEnd = LabGrace + time.Second
	// SoakRepairTime is the time between two losses among the processes with a disk: sync-s of the
	// lab's settings, and the restart before it.
	SoakRepairTime = 8 * time.Second
)
