package calendar

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// clusterView is the Cluster of one reconciliation. Attempts are counted once.
type clusterView struct {
	service  *Service
	attempts map[quota.Key]int
	unknown  int // attempts whose class is unknown
}

// Settled tells whether the records are known up to the newest change of the calendar: a commit of
// this controller's own is known before what others committed earlier.
func (v *clusterView) Settled() bool {
	mirror := v.service.mirror
	newest := mirror.Revision(StoreKey)
	for track := range v.service.keeper.tracks {
		newest = max(newest, mirror.Revision(TrackKey(track)))
	}
	return mirror.Epoch >= newest
}

// Attempts counts what is released to a controller, may be on a machine, or is under a transaction
// of this controller's. A task's record is removed only when a report under our fencing token
// or an answered delete has proven it gone, so no task without a record counts here.
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
		// Nobody knows which tasks a record holds that can't be read.
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
		v.unknown++ // a record that does not even say which jobs it is about
	}
	for taskID, reservation := range state.Reservations {
		if !strings.HasPrefix(taskID, ReservationPrefix) && reservation.Task.Job.Record != nil {
			v.attempts[reservation.Task.Job.Record.Spec.QuotaKey()]++
		}
	}
}
