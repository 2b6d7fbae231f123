package calendar

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// clusterView implements Cluster for one reconciliation. Attempts are counted once, on first use.
type clusterView struct {
	service  *Service
	attempts map[quota.Key]int
	unknown  int // attempts whose class is unknown
}

// Settled reports whether the mirror has caught up with the newest known change of the calendar's
// keys. It may lag behind: a controller's own commit is applied to the mirror at once, before
// earlier commits of other controllers have arrived.
func (v *clusterView) Settled() bool {
	mirror := v.service.mirror
	newest := mirror.Revision(StoreKey)
	for track := range v.service.keeper.tracks {
		newest = max(newest, mirror.Revision(TrackKey(track)))
	}
	return mirror.Epoch >= newest
}

// Attempts counts the attempts that are released to a controller, may be on a machine, or are part
// of a pending transaction of this controller. Tasks without a record need not be counted: a record
// is removed only after a report under our fencing token or a confirmed deletion of the machine has
// proven that the task is gone.
func (v *clusterView) Attempts(ofClass func(quota.Key) bool) int {
	if v.attempts == nil {
		v.countAttempts()
	}
	sum := v.unknown
	for class, count := range v.attempts {
		if ofClass(class) {
			sum += count
		}
	}
	return sum
}

func (v *clusterView) countAttempts() {
	v.attempts = map[quota.Key]int{}
	state := v.service.state
	for jobID, job := range state.Jobs {
		count := len(job.Active)
		// An unreadable record may contain any task, so it counts as one.
		if job.TasksUnreadable || job.RecordUnreadable || state.MayBeQuarantined(jobID) {
			count++
		}
		switch {
		case count == 0:
		case job.Record == nil:
			v.unknown += count
		default:
			v.attempts[job.Record.Spec.QuotaKey()] += count
		}
	}
	if state.MayBeQuarantined("") {
		v.unknown++ // an unreadable record that can't be attributed to a job
	}
	for taskID, reservation := range state.Reservations {
		if !strings.HasPrefix(taskID, ReservationPrefix) && reservation.Task.Job.Record != nil {
			v.attempts[reservation.Task.Job.Record.Spec.QuotaKey()]++
		}
	}
}
