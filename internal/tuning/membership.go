package tuning

import "time"

// Membership.
const (
	// MemberTTL is the time after which the lease of a controller that has ended expires. It is
	// short because the controller's machines wait for a new owner, but long enough for a small
	// processor share.
	MemberTTL = 4 * time.Second
	// MemberRenew is the interval at which a controller renews its lease: three attempts within
	// MemberTTL.
	MemberRenew = 1200 * time.Millisecond
	// UnreachableOwnerAfter is the time after which an agent that keeps calling other controllers,
	// although they redirect it to its owner, counts as unable to reach the owner. It is longer
	// than MemberTTL, so that an owner that has just ended does not count.
	UnreachableOwnerAfter = 6 * time.Second
	// ComplaintGap is the maximum pause between two calls of an agent to other controllers that
	// count as one series.
	ComplaintGap = 9 * time.Second
	// MaxPeerHeard is the maximum time for which a machine is not given up after another controller
	// received a heartbeat from it: until then its owner is taken to be the partitioned one.
	MaxPeerHeard = 12 * time.Second
	// MaxUnreached is the maximum number of machines named in one gossip message, as many as a
	// controller has sessions for. A controller of the previous version reads only the first 200.
	MaxUnreached = 5000
	// MaxUnreachedBytes is the maximum number of bytes that these names take of a line; the rest
	// of MaxPeerLine is for the other fields. 4,000 names of 8 bytes take 44,000. Names that do
	// not fit follow in later messages, since an agent keeps calling while it cannot reach its
	// owner.
	MaxUnreachedBytes = 52 << 10
	// UnreachableShare is the share of an owner's machines that must be unable to reach it before
	// it is voted out of the view.
	UnreachableShare = 0.5
	// ExcludedFor is how long a member that agents cannot reach stays out of the view.
	ExcludedFor = 30 * time.Second
	// IsolationProbeEvery is the interval at which a controller outside the view probes whether it
	// reaches agents.
	IsolationProbeEvery = 2 * time.Second
	// GossipEvery is the interval at which controllers send each other their state.
	GossipEvery = 500 * time.Millisecond
	// ProbeTimeout is how long a member whose connection has ended may leave a probe unanswered. A
	// live member sees the probe by its watch (some 60 ms) and answers with one transaction (10 ms,
	// occasionally a few hundred). A false alarm costs two view changes. In a simulated day of
	// refused connections the answers took 0.03 to 0.37 s.
	ProbeTimeout = 500 * time.Millisecond
	// ProbeTimeoutMany replaces ProbeTimeout if several connections ended together, or if the
	// connection to a member that had answered a probe ended again: the network is then the
	// likelier cause.
	ProbeTimeoutMany = 1500 * time.Millisecond
	// ProbeStagger is how much longer each successor waits before it acts on a suspicion than the
	// successor before it, which may have ended as well.
	ProbeStagger = 300 * time.Millisecond
	// ProbePause is how long a member that has answered a probe is not probed again, doubled each
	// time up to MaxProbePause: the fault that ended its connection may persist.
	ProbePause = 2 * time.Second
	// MaxProbePause is the maximum of ProbePause after doubling.
	MaxProbePause = 60 * time.Second
	// ProbeForgetAfter is the time without a probe after which the pause is ProbePause again.
	ProbeForgetAfter = 5 * time.Minute
	// RejoinStable is the time that an incarnation of a member must run for the count of its ends
	// in a row to start anew.
	RejoinStable = 10 * time.Second
	// RejoinPause is the pause before a member that has ended at least twice in a row, each time
	// before RejoinStable, is admitted to the view. It doubles each time up to MaxRejoinPause.
	RejoinPause = time.Second
	// MaxRejoinPause is the maximum of RejoinPause after doubling.
	MaxRejoinPause = 8 * time.Second
	// TakeoverDeference is how long a new incarnation of a controller, not in the view yet, leaves
	// the replacement of a lost leader to live members of the view. They need a watch response and a
	// transaction for it, unless they are stalled, or have ended as well and their leases have not
	// expired yet.
	TakeoverDeference = time.Second
	// WarmStandbys is the number of followers that are kept ready to lead at once.
	WarmStandbys = 2
	// MaxLeaderLag is the lag of its event loop or its watch from which a leader counts as behind.
	MaxLeaderLag = time.Second
	// LeaderLagFor is how long a leader must be behind before it hands over its leadership, so that
	// a single stall or slow pass does not cause a handover.
	LeaderLagFor = 3 * time.Second
	// HandOverPause is the pause before a controller hands over again, doubled each time up to
	// MaxHandOverPause.
	HandOverPause = 30 * time.Second
	// MaxHandOverPause is the maximum of HandOverPause after doubling.
	MaxHandOverPause = 10 * time.Minute
	// MaxRolloutUnresponsive is the maximum share of an owner's machines that may be unresponsive
	// for a rollout to end a controller.
	MaxRolloutUnresponsive = 0.1
	// RolloutStableFor is the default time for which nothing must have prevented a rollout from
	// ending a controller before it does so.
	RolloutStableFor = 10 * time.Second
	// RolloutPollEvery is the interval at which a waiting rollout checks whether it may end a
	// controller.
	RolloutPollEvery = time.Second
	// DrainUsersFor is how long a controller that was asked to end still serves users while it
	// reports itself unhealthy: two failed probes of the load balancer, a second apart, and a
	// margin.
	DrainUsersFor = 2500 * time.Millisecond
	// ShutdownTimeout is the time after DrainUsersFor within which such a controller ends, whether
	// it has left the view or not.
	ShutdownTimeout = 3 * time.Second
	// PeerFresh is the age at which a peer's gossip is no longer trusted.
	PeerFresh = 3 * time.Second
)
