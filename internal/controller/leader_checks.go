package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// updateChecks records the results of the checks that a new leader must pass. It sends no requests
// to the store: each check concerns state that the controller already has or is waiting for. The
// checks of the view always hold here, because reconcile returns early otherwise.
func (c *Controller) updateChecks() {
	if c.role != members.Leader {
		return
	}
	c.checks.Begin(c.roleEpoch, c.state.Now)
	if c.checks.Done() {
		return
	}
	for _, item := range []struct {
		check standby.Check
		holds bool
	}{
		{standby.InViewCertain, c.membership.Certain()},
		{standby.WatchReachedView, c.mirror.Epoch >= c.mirror.Revision(members.ViewKey)},
		{standby.OwnTransactionsSettled, !c.committer.AwaitsFence()},
		{standby.QuotasSettled, c.api.QuotaSettled()},
		{standby.MachineTypesKnown, c.provisioner.CatalogKnown()},
		{standby.CloudListed, c.provisioner.ListKnown()},
		{standby.FormerScaleOutsCounted, c.provisioner.RequestsKnown()},
	} {
		c.recordCheck(item.check, item.holds)
	}
}

// recordCheck records whether a check holds and logs the first time that it does.
func (c *Controller) recordCheck(check standby.Check, holds bool) {
	first, after := c.checks.Record(check, holds, c.state.Now)
	if !first {
		return
	}
	durationMs := after.Milliseconds()
	c.log.Debug("leader check completed", "check", string(check), "duration_ms", durationMs, "epoch", c.roleEpoch)
	if c.checks.Done() {
		c.log.Info("leader checks completed", "epoch", c.roleEpoch, "duration_ms", durationMs)
	}
}

// pendingChecks returns the checks that this controller has yet to pass as the leader.
func (c *Controller) pendingChecks() []standby.Check {
	if c.role != members.Leader {
		return nil
	}
	return c.checks.Pending()
}
