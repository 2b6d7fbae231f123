package settings

import (
	"fmt"
	"math"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// The times in this file depend on the deployment's report_s, lease_s and cancel_s. These differ by
// a factor of four between deployments, so the times that depend on them are not constants.

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// NextHeartbeat returns how long after one heartbeat the next one is sent at the latest.
func (w Workers) NextHeartbeat() time.Duration {
	return seconds(w.HeartbeatS * (1 + tuning.HeartbeatJitter))
}

// HeartbeatLateAfter returns the time without a heartbeat after which a machine is queried
// directly. It never exceeds the time for which new tasks are placed on the machine
// (tuning.FreshHeartbeatIntervals).
func (w Workers) HeartbeatLateAfter() time.Duration {
	late := max(seconds(w.HeartbeatS*tuning.HeartbeatLateIntervals), w.NextHeartbeat()+tuning.HeartbeatSlack)
	return min(late, seconds(w.HeartbeatS*tuning.FreshHeartbeatIntervals))
}

// UnresponsiveAfter returns the time without a sign of life after which a machine is unresponsive:
// not before it has been queried directly and has had the time to answer.
func (w Workers) UnresponsiveAfter() time.Duration {
	return max(
		seconds(w.HeartbeatS*tuning.UnresponsiveHeartbeatIntervals),
		w.HeartbeatLateAfter()+tuning.CommandTimeout+tuning.Tick,
	)
}

// OutboundPartitionedAfter returns the time without a heartbeat after which a machine that answers
// commands is outbound-partitioned: tasks started on it would hardly end before its lease expires.
func (w Workers) OutboundPartitionedAfter() time.Duration {
	return max(seconds(w.LeaseS*tuning.OutboundPartitionedLeaseShare), w.UnresponsiveAfter())
}

// LeaseOverAfter returns the time without a sign of life after which a machine certainly holds no
// tasks, because its lease has expired.
func (w Workers) LeaseOverAfter() time.Duration {
	return seconds(w.LeaseS * (1 + tuning.LeaseOverMarginShare))
}

// PeerHeardWithin returns how long a machine is not decommissioned after another controller
// received a heartbeat from it.
func (w Workers) PeerHeardWithin() time.Duration {
	return min(tuning.MaxPeerHeard, seconds(w.LeaseS*tuning.PeerHeardLeaseShare))
}

// failoverContactAfter returns how long after its last acknowledged heartbeat an agent whose
// controller does not answer calls another one, at the latest.
func (w Workers) failoverContactAfter() time.Duration {
	return w.NextHeartbeat() + tuning.AgentTimeout + tuning.AgentFailoverPause
}

// MinLease returns the shortest lease of an agent that outlasts the loss of a controller whose own
// lease has the given length. The agent's call to that controller fails. Either the other
// controllers cannot know yet that it has ended and redirect the agent to it, and each such call
// fails again, or the agent's call to a second controller fails, too. An unresponsive machine must
// also be decommissioned within its lease.
func (w Workers) MinLease(controllerLease time.Duration) time.Duration {
	failedCall := tuning.AgentRedirectPause + tuning.AgentTimeout + tuning.AgentFailoverPause
	untilViewChange := controllerLease + tuning.ViewChangeTime - (tuning.AgentTimeout + tuning.AgentFailoverPause)
	redirects := math.Ceil(max(0, untilViewChange.Seconds()) / failedCall.Seconds())
	return max(
		w.failoverContactAfter()+time.Duration(1+redirects)*failedCall,
		w.UnresponsiveAfter()+tuning.GiveUpUnresponsiveAfter,
	)
}

// maxDeleteTime returns how long a machine's deletion may take once it is due, with one failure of
// each kind: one interval of checks, a transaction that fails because the leader ends and that the
// next leader makes, and a request that gets no answer and is repeated.
func (c Cluster) maxDeleteTime() time.Duration {
	check := tuning.DecommissionEvery
	transaction := tuning.StateTimeout + tuning.MemberTTL + tuning.ViewChangeTime
	requests := c.deleteInterval() + tuning.DeleteAgain + tuning.CloudResponseTime
	return check + transaction + requests
}

// deleteInterval returns the pause between two delete requests.
func (c Cluster) deleteInterval() time.Duration {
	return seconds(1 / max(c.Cloud.RPS*tuning.DeleteShare, 1e-3))
}

// CancelDelete returns how long after a cancellation a machine that still holds a task of the
// cancelled job is deleted. The rest of cancel_s is for the deletion.
func (c Cluster) CancelDelete() time.Duration {
	share := seconds(c.Workers.CancelS * tuning.CancelDeleteShare)
	// Also with a short cancel_s a machine gets the time to send a heartbeat or to be given up.
	untilGivenUp := min(share, c.Workers.UnresponsiveAfter()+tuning.GiveUpUnresponsiveAfter)
	return max(min(share, seconds(c.Workers.CancelS)-c.maxDeleteTime()), untilGivenUp)
}

// LatestCancelDelete returns how long after a cancellation a deletion must begin at the latest to
// be completed in time if nothing fails: it takes two intervals of checks, a transaction and one
// request.
func (c Cluster) LatestCancelDelete() time.Duration {
	deletion := 2*tuning.DecommissionEvery + tuning.StateTimeout + c.deleteInterval() + tuning.CloudResponseTime
	return seconds(c.Workers.CancelS) - deletion
}

// minCancelTime returns the shortest cancel_s within which an unreachable machine is deleted: it
// first has to become unresponsive and to be given up, and then to be deleted.
func (c Cluster) minCancelTime() time.Duration {
	return c.Workers.UnresponsiveAfter() + tuning.GiveUpUnresponsiveAfter + c.maxDeleteTime()
}

// checkTimes adds a fault for each of the agents' times that is too short to be safe. Missing times
// are reported elsewhere.
func (c Cluster) checkTimes(faults *faultList) {
	workers := c.Workers
	if workers.HeartbeatS <= 0 || workers.LeaseS <= 0 || workers.CancelS <= 0 {
		return
	}
	next := workers.NextHeartbeat()
	faults.require(seconds(workers.LeaseS) > next, "cluster.workers.lease_s", fmt.Sprintf(
		"must be more than %s with report_s %g: every lease would end between two reports",
		formatSeconds(next), workers.HeartbeatS,
	))
	minimum := seconds(workers.LeaseS) + tuning.CancelLeaseMargin
	faults.require(seconds(workers.CancelS) >= minimum, "cluster.workers.cancel_s", fmt.Sprintf(
		"must be at least %s: %s more than lease_s, when a task that nobody reaches ends",
		formatSeconds(minimum), formatSeconds(tuning.CancelLeaseMargin),
	))
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// TimingWarnings returns a warning for each of the agents' times that violates no rule of the
// protocol but may cost work. The program logs the warnings and starts.
func (c Cluster) TimingWarnings() []string {
	workers := c.Workers
	var warnings []string
	if minimum := workers.MinLease(tuning.MemberTTL); seconds(workers.LeaseS) < minimum {
		warnings = append(warnings, fmt.Sprintf(
			"cluster.workers.lease_s: below %s with report_s %g: a worker asks two controllers in vain "+
				"before a third answers it, and its lease ends meanwhile",
			formatSeconds(minimum), workers.HeartbeatS,
		))
	}
	if minimum := c.minCancelTime(); seconds(workers.CancelS) < minimum {
		warnings = append(warnings, fmt.Sprintf(
			"cluster.workers.cancel_s: below %s with report_s %g and cloud.rps %g: a machine that cannot be reached "+
				"may not be deleted in time, and its lease alone ends what is cancelled",
			formatSeconds(minimum), workers.HeartbeatS, c.Cloud.RPS,
		))
	}
	return warnings
}

// checkMemberTTL returns an error if the controllers' leases, as set by the operators, are too long
// for the agents' leases.
func (s *Settings) checkMemberTTL() error {
	memberTTL := s.Operator.MemberTTLS
	if memberTTL <= tuning.MemberTTL.Seconds() {
		return nil
	}
	workers := s.Cluster.Workers
	minimum := workers.MinLease(seconds(memberTTL))
	if seconds(workers.LeaseS) >= minimum {
		return nil
	}
	return fmt.Errorf(
		"members.ttl_s: %g needs cluster.workers.lease_s of at least %.1f, it is %g",
		memberTTL, minimum.Seconds(), workers.LeaseS,
	)
}
