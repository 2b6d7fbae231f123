package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/clusterstate"
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/store"
)

// newCommitter returns the committer, which sends decisions to the store as transactions.
func (c *Controller) newCommitter() *commit.Committer {
	collaborators := committerCollaborators{controller: c}
	return commit.New(c.state, commit.Config{
		Name:        c.settings.NodeName,
		StoreLimits: c.settings.Cluster.State,
		ValueBytes:  c.valueBytes(),
		// The leader writes the summary at every step of the autoscaler.
		ReplayGuardKey: provisioning.SummaryKey,
		Log:            c.log,
		Client:         c.client,
		Mirror:         c.mirror,
		Membership:     collaborators,
		Guard:          collaborators,
		Loop:           collaborators,
		Verifier:       collaborators,
	})
}

// committerCollaborators adapts the controller to the committer's Membership, Guard and Loop. The
// calendar and the API are created after the committer, so they are looked up at each call.
type committerCollaborators struct {
	controller *Controller
}

func (c committerCollaborators) HasView() bool { return c.controller.view != nil }

func (c committerCollaborators) Epoch() uint64 { return c.controller.viewEpoch() }

func (c committerCollaborators) OwnsMachine(machine string) bool {
	return c.controller.ownsMachine(machine)
}

func (c committerCollaborators) Preconditions() []string {
	return append(c.controller.api.Preconditions(), c.controller.calendar.Keys()...)
}

func (c committerCollaborators) ApplyCalendar(decisions []decide.Decision) []decide.Decision {
	return c.controller.calendar.Guard(decisions)
}

func (c committerCollaborators) ReviewMachineOf(task *clusterstate.Task) {
	c.controller.reviewMachineOf(task)
}

// RecordsVerified implements commit.Verifier. A transaction that places a task is conditional on its
// job's record, and so allows its launch.
func (c committerCollaborators) RecordsVerified(preconditions []store.Precondition, sentAt time.Time) {
	c.controller.jobsVerified(preconditions, sentAt)
}

func (c committerCollaborators) Wake() { c.controller.wake() }

func (c committerCollaborators) WatchNow() { c.controller.watchNow() }
