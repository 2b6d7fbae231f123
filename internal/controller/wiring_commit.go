package controller

import (
	"github.com/harrierreel/harrierreel/internal/commit"
	"github.com/harrierreel/harrierreel/internal/decide"
)

// newCommitter makes what sends decisions to the store as transactions.
func (n *Controller) newCommitter() *commit.Committer {
	return commit.New(n.State, commit.Env{
		Name:        n.settings.NodeName,
		StoreLimits: n.settings.Cluster.State,
		ValueBytes:  n.valueBytes(),
		Log:         n.log,
		Client:      n.client,
		Mirror:      n.mirror,
		HasView:     func() bool { return n.view != nil },
		Epoch:       n.viewEpoch,
		OwnsMachine: n.ownsMachine,
		Preconditions: func() []string {
			return append(n.api.Preconditions(), n.calendar.Keys()...)
		},
		ApplyCalendar: func(decisions []decide.Decision) []decide.Decision { return n.calendar.Guard(decisions) },
		Touch:         n.reviewMachineOf,
		Wake:          n.wake,
		WatchNow:      n.watchNow,
	})
}
