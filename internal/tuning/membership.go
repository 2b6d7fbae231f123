package tuning

import "time"

// Membership.
const (
	// MemberTTL: a dead controller's lease ends after this. Short, since its
	// machines wait for a new owner; long enough for a slow processor share.
	MemberTTL = 4 * time.Second
	// MemberRenew: three attempts within MemberTTL.
	MemberRenew = 1200 * time.Millisecond
	// UnreachableOwnerAfter: workers that keep coming to others for this long although
	// they were sent to their owner prove that they cannot reach it. Longer than
	// MemberTTL, so that a controller that has just ended is not meant.
	UnreachableOwnerAfter = 6 * time.Second
	// ComplaintGap: visits further apart than this do not belong together.
	ComplaintGap = 9 * time.Second
	// HeardFresh: a machine heard by another node this recently is not given
	// up; its owner is the one that is cut off.
	HeardFresh = 12 * time.Second
	// MaxUnreached: machines named in one gossip message, as many as a controller has sessions for; a
	// controller of the former version takes in the first 200 of them. MaxUnreachedBytes,
	// bytes: what they take of a line; the rest of MaxPeerLine is for its marks. 4,000 names of
	// 8 bytes take 44,000. With longer names those that come later follow: each comes again
	// and again while it is out of reach.
	MaxUnreached      = 5000
	MaxUnreachedBytes = 52 << 10
	// UnreachableShare: part of an owner's machines that must complain.
	UnreachableShare = 0.5
	// VotedOutFor: how long a member that workers cannot reach stays out.
	VotedOutFor = 30 * time.Second
	// IsolationProbeEvery: how often a member outside the view looks whether it reaches
	// workers.
	IsolationProbeEvery = 2 * time.Second
	// GossipEvery: how often peers tell one another how they are.
	GossipEvery = 500 * time.Millisecond
	// ProbeTimeout: how long a member whose connection has ended may leave a call
	// unanswered. One that lives sees it within a watch (some 60 ms) and answers with
	// one transaction (10 ms, now and then a few hundred); a wrong alarm costs two
	// changes of view. On a day of refused connections (simulated machines) answers
	// took 0.03 to 0.37 s. ProbeTimeoutMany: where several connections ended together, or
	// one ended again that had answered, which is more likely the network between.
	ProbeTimeout     = 500 * time.Millisecond
	ProbeTimeoutMany = 1500 * time.Millisecond
	// ProbeStagger: how much longer each next one waits to act on a suspicion than the
	// one before it, who may have ended as well.
	ProbeStagger = 300 * time.Millisecond
	// ProbePause, MaxProbePause: a member that has answered is not called again for so
	// long, doubled each time: what ended its connection may last.
	ProbePause    = 2 * time.Second
	MaxProbePause = 60 * time.Second
	// ProbeForgetAfter: after so long without a call what ended its connections is over.
	ProbeForgetAfter = 5 * time.Minute
	// RejoinStable: an incarnation that has stood for so long was no short one. RejoinPause,
	// MaxRejoinPause: a member that has ended at least twice in a row without having
	// stood for so long is let in after such a pause, doubled each time.
	RejoinStable   = 10 * time.Second
	RejoinPause    = time.Second
	MaxRejoinPause = 8 * time.Second
	// WarmStandbys: members that are ready to lead at once.
	WarmStandbys = 2
	// UnfitLag, UnfitFor: a leader that is so far behind for so long hands over. A
	// single standstill is no reason, nor is a look that takes long.
	UnfitLag = time.Second
	UnfitFor = 3 * time.Second
	// HandOverPause, MaxHandOverPause: before it hands over again, doubled each time.
	HandOverPause    = 30 * time.Second
	MaxHandOverPause = 10 * time.Minute
	// MaxRolloutUnresponsive: share of its machines that an owner may not hear while another
	// controller is ended. RolloutStableFor: how long nothing may have stood against it.
	// RolloutPollEvery: pause between two looks of whoever waits for that.
	MaxRolloutUnresponsive = 0.1
	RolloutStableFor       = 10 * time.Second
	RolloutPollEvery       = time.Second
	// LeaveUsers: how long a controller that was asked to end still serves users while
	// it calls itself unhealthy: two failed probes, a second apart, and some air.
	LeaveUsers = 2500 * time.Millisecond
	// LeaveWithin: a controller that was asked to end does so that much
	// later, in the view or not.
	LeaveWithin = 3 * time.Second
	// PeerFresh: older words of a peer are not believed.
	PeerFresh = 3 * time.Second
)
