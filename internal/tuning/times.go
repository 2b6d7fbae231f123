package tuning

import "time"

// The constant parts of the times that depend on the deployment's report_s, lease_s and
// cancel_s. Package settings computes those times.
const (
	// HeartbeatJitter is the share of report_s by which a heartbeat may be late (protocol).
	HeartbeatJitter = 0.25
	// AgentTimeout is the maximum time that an agent waits for an answer (protocol).
	AgentTimeout = 4 * time.Second
	// AgentFailoverPause is the maximum time until an agent without an answer calls the next
	// controller (protocol).
	AgentFailoverPause = time.Second
	// AgentRedirectPause is the maximum time until an agent calls the controller that it is
	// redirected to (protocol).
	AgentRedirectPause = 500 * time.Millisecond
	// HeartbeatSlack is how much later than the protocol allows a heartbeat may be before its
	// machine is queried directly: the lag of a small, busy controller. A mere share of report_s
	// left 0.3 s with heartbeats every 2 s, and a single lag caused queries to all machines.
	HeartbeatSlack = 440 * time.Millisecond
	// ViewChangeTime is the time for a view change to be made and to reach all controllers, once it
	// is known who leaves the view: a transaction, 10 ms to a few hundred, and a watch.
	ViewChangeTime = time.Second
	// PeerHeardLeaseShare is the maximum share of lease_s that MaxPeerHeard may take. A heartbeat
	// that another controller received a whole lease ago says nothing about what runs now.
	PeerHeardLeaseShare = 0.75
	// OutboundPartitionedLeaseShare is the share of lease_s without a heartbeat after which a
	// machine gets no new tasks. An agent that looks for its controller finds it long before that
	// (settings.Workers.MinLease). With a smaller share a single change of leader made machines
	// count as outbound-partitioned.
	OutboundPartitionedLeaseShare = 0.5
	// CancelLeaseMargin is how much longer than lease_s cancel_s must be. A task on a machine that
	// no controller reaches ends lease_s after the last answer to the machine, which may be one
	// heartbeat interval later than the cancellation, and the machine's next heartbeat shows it.
	CancelLeaseMargin = 5 * time.Second
	// CloudResponseTime is the time within which the cloud nearly always answers a delete request;
	// 120 ms are usual.
	CloudResponseTime = 2 * time.Second
	// UnresponsiveRetryAfter is the time after which an agent that called another controller counts
	// as unable to reach its owner if the owner still reports its machine as unresponsive. The
	// agent was redirected to its owner, calls it within AgentRedirectPause, and the owner reports
	// a change within some 100 ms.
	UnresponsiveRetryAfter = time.Second
)
