package tuning

import "time"

// Acknowledged cancellations (package cancellation).
const (
	// ProofMargin: leases are renewed until cancel_s - lease_s after the last proof, less
	// this: two turns of a busy loop (0.3 s), the grain of the workers' clocks, and a
	// launch that leaves with the last renewal.
	ProofMargin = 1500 * time.Millisecond
	// ProofDrift: share of cancel_s by which clocks may drift apart (0.05% each way).
	ProofDrift = 0.001
	// ProofQueryAfter: while the state service does not answer, the other controllers are asked
	// once it has proven nothing for so long.
	ProofQueryAfter = time.Second
	// ProofQueryEvery: pause between two rounds of questions: one short line to each other
	// controller, and one back.
	ProofQueryEvery = time.Second
	// ProofRounds: rounds whose answers are waited for; a line that took longer than so
	// many seconds proves nothing that a later one does not.
	ProofRounds = 8
	// WatchHoldShare: share of the time left for renewals (cancel_s - lease_s less the
	// margin) that a watch may be held at most, where that is less than WatchHold.
	WatchHoldShare = 0.25
	// MaxAckLogEntries: cancellations kept that this process has acknowledged; two seconds of a swarm of
	// 2,000 a second. Whoever has not taken in what was dropped proves nothing by it.
	MaxAckLogEntries = 4096
	// MaxPeerCancellations: cancellations heard of that the mirror does not show yet, of all others.
	MaxPeerCancellations = 16384
	// MaxAcksPerLine: cancellations, or acknowledged states of jobs, in one line; at 30 to 45
	// bytes each far below MaxPeerLine.
	MaxAcksPerLine = 500
	// AckGatherFor: least pause between two lines that pass acknowledgements on; of a swarm of
	// 2,000 a second 40 go in a line.
	AckGatherFor = 20 * time.Millisecond
	// AckResend: what was not confirmed is passed on again.
	AckResend = time.Second
	// MaxPeers: controllers that a line may speak of.
	MaxPeers = 64
	// StopRelayAfter: an owner that has not confirmed a cancellation by then is taken to be
	// out of reach: confirmations come with the next line, within GossipEvery.
	StopRelayAfter = 1500 * time.Millisecond
	// StopRelayEvery: how often is looked for such owners' machines. MaxStopRelayCalls: calls to
	// them under way at once. StopRelayRetry: pause before a machine is called again;
	// StopRelayRetryClean: if it held nothing that is cancelled, for a launch may still come.
	StopRelayEvery      = 500 * time.Millisecond
	MaxStopRelayCalls   = 16
	StopRelayRetry      = 2 * time.Second
	StopRelayRetryClean = 5 * time.Second
)
