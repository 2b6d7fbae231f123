package tuning

import "time"

// Times that follow from the deployment's own (report_s, lease_s, cancel_s): the parts of
// them that the deployment does not set. Package settings puts them together.
const (
	// ReportJitter: share of report_s by which a report may come late (protocol).
	ReportJitter = 0.25
	// WorkerPatience, WorkerNext, WorkerRedirect: how long a worker waits for an answer, until
	// it turns to the next controller, and until it goes where it is sent, at most (protocol).
	WorkerPatience = 4 * time.Second
	WorkerNext     = time.Second
	WorkerRedirect = 500 * time.Millisecond
	// ReportSlack: a report may be so much later than the protocol allows before its
	// machine is asked: what a small controller lags behind when all is busy. With reports
	// every 2 s a share of them alone left 0.3 s, and one lag had all machines asked.
	ReportSlack = 440 * time.Millisecond
	// ViewTakes: for a change of view and its coming to all controllers, once it is known
	// who is left out: a transaction of some 10 to some hundred ms and a watch.
	ViewTakes = time.Second
	// HeardLease: HeardFresh is at most this share of lease_s. What was heard elsewhere as
	// long ago as a lease tells nothing of what runs now.
	HeardLease = 0.75
	// OutboundPartitionedLeaseShare, share of lease_s: a machine that sends no reports for longer takes no new
	// tasks. A worker that looks for its controller has found it long before (MinLease);
	// with less, machines were taken for outbound-partitioned for one change of leader.
	OutboundPartitionedLeaseShare = 0.5
	// CancelSpare: by how much cancel_s must exceed lease_s at least. What nobody reaches
	// has ended by lease_s after the last answer, which may be a report's time younger than
	// the cancellation, and it shows in what the machine reports next.
	CancelSpare = 5 * time.Second
	// CloudAnswer: within so much the cloud mostly answers a delete; 120 ms are usual.
	CloudAnswer = 2 * time.Second
	// UnresponsiveRetryAfter: a worker that came to another controller and that its own owner, so long
	// after, still tells that it does not hear is out of the owner's reach. It was sent to
	// its owner, gets there within WorkerRedirect, and the owner tells so within some 100 ms.
	UnresponsiveRetryAfter = time.Second
)
