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

// NextReport: so long after one report the next one is sent at the latest.
func (w Workers) NextReport() time.Duration {
	return seconds(w.ReportS * (1 + tuning.ReportJitter))
}

// Late: a machine unheard for longer is asked directly. Never later than a machine counts
// as freshly heard (tuning.FreshReports).
func (w Workers) Late() time.Duration {
	late := max(seconds(w.ReportS*tuning.ReportLate), w.NextReport()+tuning.ReportSlack)
	return min(late, seconds(w.ReportS*tuning.FreshReports))
}

// UnresponsiveAfter: a machine unheard for longer is called quiet; not before it was asked directly
// and could have answered.
func (w Workers) UnresponsiveAfter() time.Duration {
	return max(seconds(w.ReportS*tuning.UnresponsiveReports), w.Late()+tuning.CommandTimeout+tuning.Tick)
}

// OutboundPartitionedAfter: a machine that has sent no report for longer, though it answers commands, is called
// mute: tasks that began on it would hardly end before its lease does.
func (w Workers) OutboundPartitionedAfter() time.Duration {
	return max(seconds(w.LeaseS*tuning.OutboundPartitionedLeaseShare), w.UnresponsiveAfter())
}

// GoneBy: a machine unheard for longer holds nothing any more, whatever happened to it.
func (w Workers) GoneBy() time.Duration {
	return seconds(w.LeaseS * (1 + tuning.UnresponsiveDeleteShare))
}

// HeardFresh: a machine that another controller heard this recently is not given up.
func (w Workers) HeardFresh() time.Duration {
	return min(tuning.HeardFresh, seconds(w.LeaseS*tuning.HeardLease))
}

// visit: a worker whose controller does not answer is at another one so long after its
// last answered report at the latest.
func (w Workers) visit() time.Duration {
	return w.NextReport() + tuning.WorkerPatience + tuning.WorkerNext
}

// MinLease is the shortest lease that outlasts the loss of a controller whose own lease
// has the given length: a worker asks it in vain, and once more for each time that it is
// sent back there, because the others cannot know yet that it has ended, or asks a second
// one in vain. What is merely not heard must be given up by then, too.
func (w Workers) MinLease(ttl time.Duration) time.Duration {
	round := tuning.WorkerRedirect + tuning.WorkerPatience + tuning.WorkerNext
	known := ttl + tuning.ViewTakes - (tuning.WorkerPatience + tuning.WorkerNext)
	back := math.Ceil(max(0, known.Seconds()) / round.Seconds())
	return max(w.visit()+time.Duration(1+back)*round, w.UnresponsiveAfter()+tuning.UnresponsiveRecheck)
}

// deletes is what a delete may take that is in a hurry: a look, a change whose leader
// ended before it was made, and a request that got no answer and was sent again.
func (k Cluster) deletes() time.Duration {
	return tuning.DecommissionEvery + tuning.StateTimeout + tuning.MemberTTL + tuning.ViewTakes + k.deleteGap() + tuning.DeleteAgain + tuning.CloudAnswer
}

// deleteGap is the pause between two requests to delete.
func (k Cluster) deleteGap() time.Duration {
	return seconds(1 / max(k.Cloud.RPS*tuning.DeleteShare, 1e-3))
}

// CancelDelete: a machine that still holds a cancelled task so long after its
// cancellation is deleted. The rest of cancel_s is for the delete.
func (k Cluster) CancelDelete() time.Duration {
	share := seconds(k.Workers.CancelS * tuning.CancelDelete)
	// Where cancel_s is tight a machine is given the time to be heard all the same.
	heard := min(share, k.Workers.UnresponsiveAfter()+tuning.UnresponsiveRecheck)
	return max(min(share, seconds(k.Workers.CancelS)-k.deletes()), heard)
}

// CancelLast: a delete that is begun so long after a cancellation is still carried out in
// time if nothing else goes wrong: two looks, a change and one request.
func (k Cluster) CancelLast() time.Duration {
	return seconds(
		k.Workers.CancelS,
	) - (2*tuning.DecommissionEvery + tuning.StateTimeout + k.deleteGap() + tuning.CloudAnswer)
}

// minCancel is the shortest cancel_s: a machine that nobody hears is called quiet and
// given up before anything else is tried, and then it must still be possible to delete it.
func (k Cluster) minCancel() time.Duration {
	return k.Workers.UnresponsiveAfter() + tuning.UnresponsiveRecheck + k.deletes()
}

// checkTimes tells which of the workers' times leave no safe value for what must fit into
// them. Those that are missing are told already.
func (k Cluster) checkTimes(c *check) {
	w := k.Workers
	if w.ReportS <= 0 || w.LeaseS <= 0 || w.CancelS <= 0 {
		return
	}
	c.that(
		seconds(w.LeaseS) > w.NextReport(),
		"cluster.workers.lease_s",
		fmt.Sprintf(
			"must be more than %s with report_s %g: every lease would end between two reports",
			inSeconds(w.NextReport()),
			w.ReportS,
		),
	)
	least := seconds(w.LeaseS) + tuning.CancelSpare
	c.that(
		seconds(w.CancelS) >= least,
		"cluster.workers.cancel_s",
		fmt.Sprintf(
			"must be at least %s: %s more than lease_s, when a task that nobody reaches ends",
			inSeconds(least),
			inSeconds(tuning.CancelSpare),
		),
	)
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()) }

// Tight names the workers' times that keep every rule but may cost work, each with what is
// lost: the program starts with them and says so.
func (k Cluster) Tight() []string {
	w := k.Workers
	var out []string
	if least := w.MinLease(tuning.MemberTTL); seconds(w.LeaseS) < least {
		out = append(
			out,
			fmt.Sprintf(
				"cluster.workers.lease_s: below %s with report_s %g: a worker asks two controllers in vain before a third answers it, and its lease ends meanwhile",
				inSeconds(least),
				w.ReportS,
			),
		)
	}
	if least := k.minCancel(); seconds(w.CancelS) < least {
		out = append(
			out,
			fmt.Sprintf(
				"cluster.workers.cancel_s: below %s with report_s %g and cloud.rps %g: a machine that cannot be reached may not be deleted in time, and its lease alone ends what is cancelled",
				inSeconds(least),
				w.ReportS,
				k.Cloud.RPS,
			),
		)
	}
	return out
}

// checkTTL tells whether operators made the controllers' own leases too long for the
// workers'.
func (s *Settings) checkTTL() error {
	w := s.Cluster.Workers
	if least := w.MinLease(
		seconds(s.Operator.MemberTTLS),
	); s.Operator.MemberTTLS > tuning.MemberTTL.Seconds() &&
		seconds(w.LeaseS) < least {
		return fmt.Errorf(
			"members.ttl_s: %g needs cluster.workers.lease_s of at least %.1f, it is %g",
			s.Operator.MemberTTLS,
			least.Seconds(),
			w.LeaseS,
		)
	}
	return nil
}
