package tuning

import "time"

// Acknowledged cancellations (package cancellation).
const (
	// ProofMargin is subtracted from cancel_s - lease_s to get the time after the last proof for
	// which leases are renewed. It covers two passes of a busy event loop (0.3 s), the resolution
	// of the agents' clocks, and a launch that is sent with the last renewal.
	ProofMargin = 1500 * time.Millisecond
	// ProofDrift is the share of cancel_s by which clocks may drift apart (0.05% each way).
	ProofDrift = 0.001
	// LaunchLease is how long after it sent a read of the state service a controller may send a launch
	// that rests on the read. It is shorter than AckHold by what clocks' rates may differ and by the
	// way of a launch out of the process.
	LaunchLease = ReadLease
	// LaunchVerifyEvery is the minimum pause between two transactions that compare the records of jobs
	// with waiting launches.
	LaunchVerifyEvery = 200 * time.Millisecond
	// MaxVerifiedJobs is the number of records that such a transaction compares.
	MaxVerifiedJobs = 16
	// LaunchSuspensionLogAfter is the time after which launches that wait for a proof are logged.
	LaunchSuspensionLogAfter = 2 * time.Second
	// ProofQueryAfter is the time without a proof after which the other controllers are queried
	// while the state service is unavailable.
	ProofQueryAfter = time.Second
	// ProofQueryEvery is the pause between two rounds of queries. A round is one short line to
	// each other controller, and one back.
	ProofQueryEvery = time.Second
	// ProofRounds is the number of query rounds whose answers are awaited. An answer that takes
	// longer than that many seconds proves nothing that a later one does not.
	ProofRounds = 8
	// WatchHoldShare is the maximum share of the renewal time (cancel_s - lease_s - ProofMargin)
	// for which a watch may be held open, where that is less than WatchHold.
	WatchHoldShare = 0.25
	// MaxAckLogEntries is the number of cancellations acknowledged by this process that are kept:
	// two seconds of a burst of 2,000 a second. The answers of a peer that has not received a
	// dropped entry prove nothing.
	MaxAckLogEntries = 4096
	// MaxPeerCancellations is the maximum number of cancellations acknowledged by all other
	// controllers that are kept until the mirror shows them.
	MaxPeerCancellations = 16384
	// MaxAcksPerLine is the maximum number of cancellations, or of acknowledged job states, in one
	// line. At 30 to 45 bytes each they stay far below MaxPeerLine.
	MaxAcksPerLine = 500
	// AckGatherFor is the minimum pause between two lines that pass on acknowledgements. In a burst
	// of 2,000 a second a line holds 40.
	AckGatherFor = 20 * time.Millisecond
	// AckResend is the time after which unconfirmed acknowledgements are sent again.
	AckResend = time.Second
	// MaxPeers is the maximum number of controllers that a line may mention.
	MaxPeers = 64
	// StopRelayAfter is the time after which an owner that has not confirmed a cancellation is
	// considered unreachable. Confirmations come with the next line, within GossipEvery.
	StopRelayAfter = 1500 * time.Millisecond
	// StopRelayEvery is the interval of the scans for the machines of such owners.
	StopRelayEvery = 500 * time.Millisecond
	// MaxStopRelayCalls is the maximum number of calls to these machines under way at once.
	MaxStopRelayCalls = 16
	// StopRelayRetry is the pause before such a machine is called again.
	StopRelayRetry = 2 * time.Second
	// StopRelayRetryClean replaces StopRelayRetry if the machine held no cancelled task: a launch
	// may still arrive there.
	StopRelayRetryClean = 5 * time.Second
)
