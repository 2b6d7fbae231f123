package controller

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// launchVerification verifies that jobs with waiting launches are not cancelled, while the watch does
// not bring a recent proof of that (see cancellation.Proof): it may be held open for seconds, or lag.
// One transaction without writes compares the records of several jobs.
type launchVerification struct {
	inFlight bool
	sentAt   time.Time // of the last transaction
	// changed holds, by key of a job's record, the revision that the record no longer has, while the mirror
	// still shows it.
	changed map[string]uint64

	waitingSince time.Time // zero if no launch waits
	logged       bool      // that launches are suspended
}

// verifyLaunches compares the records of jobs with waiting launches, if there are any.
func (c *Controller) verifyLaunches() {
	v, sentAt := &c.launchVerification, c.state.Now
	if v.inFlight || sentAt.Sub(v.sentAt) < tuning.LaunchVerifyEvery || c.client.Unavailable() {
		return
	}
	jobIDs := c.jobsToVerify()
	if len(jobIDs) == 0 {
		return
	}
	txn := store.Txn{}
	for _, jobID := range jobIDs {
		key := jobs.JobPrefix + jobID
		txn.Preconditions = append(txn.Preconditions, store.Precondition{Key: key, Revision: c.mirror.Revision(key)})
	}
	v.inFlight, v.sentAt = true, sentAt
	c.client.Commit(store.PriorityUrgent, txn, func(_ uint64, failed []string, err error) {
		v.inFlight = false
		switch {
		case err == nil:
			c.jobsVerified(txn.Preconditions, sentAt)
		case errors.Is(err, store.ErrConflict):
			v.recordChanged(txn.Preconditions, failed, c.mirror.Revision)
		}
		c.shard.ResumeLaunches()
		c.wake()
	})
}

// jobsVerified records that job records among those compared by a transaction, which was sent at
// sentAt, were unchanged.
func (c *Controller) jobsVerified(compared []store.Precondition, sentAt time.Time) {
	var jobIDs []string
	for _, precondition := range compared {
		if jobID, ok := strings.CutPrefix(precondition.Key, jobs.JobPrefix); ok {
			jobIDs = append(jobIDs, jobID)
		}
	}
	c.cancellations.JobsVerified(jobIDs, sentAt)
}

// jobsToVerify returns jobs with waiting launches, without those whose records have changed and
// whose change the mirror does not show yet.
func (c *Controller) jobsToVerify() []string {
	v := &c.launchVerification
	jobIDs := slices.DeleteFunc(c.shard.UnverifiedJobs(), func(jobID string) bool {
		key := jobs.JobPrefix + jobID
		revision, changed := v.changed[key]
		return changed && revision == c.mirror.Revision(key)
	})
	return jobIDs[:min(len(jobIDs), tuning.MaxVerifiedJobs)]
}

// recordChanged records which of the compared records have changed. A change that the mirror has shown since
// is forgotten; mirrored returns the revision that the mirror shows of a key.
func (v *launchVerification) recordChanged(
	compared []store.Precondition, failed []string, mirrored func(key string) uint64,
) {
	if v.changed == nil {
		v.changed = map[string]uint64{}
	}
	maps.DeleteFunc(v.changed, func(key string, revision uint64) bool { return mirrored(key) != revision })
	for _, precondition := range compared {
		if slices.Contains(failed, precondition.Key) {
			v.changed[precondition.Key] = precondition.Revision
		}
	}
}

// logLaunchSuspension logs when launches have waited for long, and when they go on.
func (c *Controller) logLaunchSuspension() {
	v, now := &c.launchVerification, c.state.Now
	switch waiting := len(c.shard.UnverifiedJobs()) > 0; {
	case waiting && v.waitingSince.IsZero():
		v.waitingSince = now
	case waiting && !v.logged && now.Sub(v.waitingSince) >= tuning.LaunchSuspensionLogAfter:
		v.logged = true
		c.log.Info("launches suspended", "reason", "not all acknowledged cancellations are known")
	case !waiting:
		if v.logged {
			c.log.Info("launches resumed", "duration_ms", now.Sub(v.waitingSince).Milliseconds())
		}
		v.waitingSince, v.logged = time.Time{}, false
	}
}
