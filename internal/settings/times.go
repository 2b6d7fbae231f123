package settings

import (
	"fmt"
	"math"
	"time"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// The times in this file compete with the deployment's report_s, lease_s and cancel_s.
// Deployments differ in these by a factor of four, so nothing that competes with them is
// a constant.

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// NextHeartbeat returns how long after one heartbeat the next one is sent at the latest.
func (w Workers) NextHeartbeat() time.Duration {
	return seconds(w.HeartbeatS * (1 + tuning.ReportJitter))
}

// HeartbeatLateAfter returns the time without a heartbeat after which a machine is queried directly.
// It is never longer than the time for which a machine counts as freshly heard
// (tuning.FreshReports).
func (w Workers) HeartbeatLateAfter() time.Duration {
	late := max(seconds(w.HeartbeatS*tuning.ReportLate), w.NextHeartbeat()+tuning.ReportSlack)
	return min(late, seconds(w.HeartbeatS*tuning.FreshReports))
}

// UnresponsiveAfter returns the time without a sign of life after which a machine counts
// as unresponsive: not before it was queried directly and could have answered.
func (w Workers) UnresponsiveAfter() time.Duration {
	return max(seconds(w.HeartbeatS*tuning.UnresponsiveReports), w.HeartbeatLateAfter()+tuning.CommandTimeout+tuning.Tick)
}

// OutboundPartitionedAfter returns the time without a heartbeat after which a machine that
// answers commands counts as outbound-partitioned: tasks that began on it would hardly end
// before its lease does.
func (w Workers) OutboundPartitionedAfter() time.Duration {
	return max(seconds(w.LeaseS*tuning.OutboundPartitionedLeaseShare), w.UnresponsiveAfter())
}

// LeaseOverAfter returns the time without a sign of life after which a machine holds no task any
// more, whatever happened to it, since its lease has expired.
func (w Workers) LeaseOverAfter() time.Duration {
	return seconds(w.LeaseS * (1 + tuning.UnresponsiveDeleteShare))
}

// PeerHeardWithin returns how recently another controller must have heard a machine for it not
// to be decommissioned.
func (w Workers) PeerHeardWithin() time.Duration {
	return min(tuning.HeardFresh, seconds(w.LeaseS*tuning.HeardLease))
}

// failoverContact returns how long after its last acknowledged heartbeat a worker whose
// controller does not answer calls another one, at the latest.
func (w Workers) failoverContact() time.Duration {
	return w.NextHeartbeat() + tuning.WorkerPatience + tuning.WorkerNext
}

// MinLease returns the shortest lease of a worker that outlasts the loss of a controller
// whose own lease has the given length. The worker calls that controller in vain, and once
// more for each time that it is redirected there, because the others cannot know yet that
// it has ended, or calls a second one in vain. An unresponsive machine must be
// decommissioned by then, too.
func (w Workers) MinLease(controllerLease time.Duration) time.Duration {
	round := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	known := controllerLease + tuning.ViewTakes - (tuning.WorkerPatience + tuning.WorkerNext)
	redirects := math.Ceil(max(0, known.Seconds()) / round.Seconds())
	return max(
		w.failoverContact()+time.Duration(1+redirects)*round,
		w.UnresponsiveAfter()+tuning.UnresponsiveRecheck,
	)
}

// urgentDelete returns how long a machine's deletion may take once it is due: one interval
// of checks, a transaction whose leader ended before it was made, and a request that got no
// answer and was repeated.
func (k Cluster) urgentDelete() time.Duration {
	check := tuning.DecommissionEvery
	transaction := tuning.StateTimeout + tuning.MemberTTL + tuning.ViewTakes
	requests := k.deleteInterval() + tuning.DeleteAgain + tuning.CloudAnswer
	return check + transaction + requests
}

// deleteInterval returns the pause between two requests to delete machines.
func (k Cluster) deleteInterval() time.Duration {
	return seconds(1 / max(k.Cloud.RPS*tuning.DeleteShare, 1e-3))
}

// CancelDelete returns how long after a cancellation a machine that still holds the
// cancelled task is deleted. The rest of cancel_s is for the deletion.
func (k Cluster) CancelDelete() time.Duration {
	share := seconds(k.Workers.CancelS * tuning.CancelDelete)
	// Where cancel_s is tight a machine still gets the time to be heard.
	heard := min(share, k.Workers.UnresponsiveAfter()+tuning.UnresponsiveRecheck)
	return max(min(share, seconds(k.Workers.CancelS)-k.urgentDelete()), heard)
}

// LatestCancelDelete returns how long after a cancellation a deletion can begin at the latest and
// still be carried out in time if nothing else goes wrong: two intervals of checks, a
// transaction and one request.
func (k Cluster) LatestCancelDelete() time.Duration {
	deletion := 2*tuning.DecommissionEvery + tuning.StateTimeout + k.deleteInterval() + tuning.CloudAnswer
	return seconds(k.Workers.CancelS) - deletion
}

// minCancelTime returns the shortest cancel_s in time: a machine that nobody hears counts
// as unresponsive and is decommissioned before anything else is tried, and after that it
// must still be possible to delete it.
func (k Cluster) minCancelTime() time.Duration {
	return k.Workers.UnresponsiveAfter() + tuning.UnresponsiveRecheck + k.urgentDelete()
}

// checkTimes adds a fault for each of the workers' times that leaves no safe value for
// what must fit into it. Missing times are faults already.
func (k Cluster) checkTimes(faults *faultList) {
	workers := k.Workers
	if workers.HeartbeatS <= 0 || workers.LeaseS <= 0 || workers.CancelS <= 0 {
		return
	}
	next := workers.NextHeartbeat()
	faults.require(seconds(workers.LeaseS) > next, "cluster.workers.lease_s", fmt.Sprintf(
		"must be more than %s with report_s %g: every lease would end between two reports",
		formatSeconds(next), workers.HeartbeatS,
	))
	minimum := seconds(workers.LeaseS) + tuning.CancelSpare
	faults.require(seconds(workers.CancelS) >= minimum, "cluster.workers.cancel_s", fmt.Sprintf(
		"must be at least %s: %s more than lease_s, when a task that nobody reaches ends",
		formatSeconds(minimum), formatSeconds(tuning.CancelSpare),
	))
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// TimingWarnings names the workers' times that keep every rule but may cost work, each with
// what is lost: the program starts with them and logs a warning.
func (k Cluster) TimingWarnings() []string {
	workers := k.Workers
	var warnings []string
	if minimum := workers.MinLease(tuning.MemberTTL); seconds(workers.LeaseS) < minimum {
		warnings = append(warnings, fmt.Sprintf(
			"cluster.workers.lease_s: below %s with report_s %g: a worker asks two controllers in vain "+
				"before a third answers it, and its lease ends meanwhile",
			formatSeconds(minimum), workers.HeartbeatS,
		))
	}
	if minimum := k.minCancelTime(); seconds(workers.CancelS) < minimum {
		warnings = append(warnings, fmt.Sprintf(
			"cluster.workers.cancel_s: below %s with report_s %g and cloud.rps %g: a machine that cannot be reached "+
				"may not be deleted in time, and its lease alone ends what is cancelled",
			formatSeconds(minimum), workers.HeartbeatS, k.Cloud.RPS,
		))
	}
	return warnings
}

// checkMemberTTL returns an error if the operators made the controllers' own leases too
// long for the workers'.
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
