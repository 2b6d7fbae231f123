package controller

import (
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/standby"
)

// updateChecks notes what this node has checked as a leader. The state service is asked for
// nothing: each check is of what the node knows or waits for anyway.
func (c *Controller) updateChecks() {
	if c.role != members.Leader {
		return
	}
	c.checks.Begin(c.roleEpoch, c.Now)
	if c.checks.Done() {
		return
	}
	for _, item := range []struct {
		check standby.Check
		holds bool
	}{
		{standby.InViewCertain, c.membership.Certain()},
		{standby.WatchReachedView, c.mirror.Epoch >= c.mirror.Revision(members.ViewKey)},
		{standby.TransactionsFenced, !c.committer.Fencing()},
		{standby.QuotasSettled, c.api.QuotaSettled()},
		{standby.MachineTypesKnown, c.provisioner.Priced()},
		{standby.CloudListed, c.provisioner.Listed()},
		{standby.FormerRents, c.provisioner.Counted()},
	} {
		if first, after := c.checks.Record(item.check, item.holds, c.Now); first {
			c.log.Debug("checked", "what", string(item.check), "after_ms", after.Milliseconds(), "epoch", c.roleEpoch)
			if c.checks.Done() {
				c.log.Info("leads, all checked", "epoch", c.roleEpoch, "after_ms", after.Milliseconds())
			}
		}
	}
}

// pendingChecks is what a leader has still to check.
func (c *Controller) pendingChecks() []standby.Check {
	if c.role != members.Leader {
		return nil
	}
	return c.checks.Pending()
}
