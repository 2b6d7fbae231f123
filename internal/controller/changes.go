package controller

import (
	"encoding/json"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/lending"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/pipelines"
	"github.com/harrierreel/harrierreel/internal/provisioning"
	"github.com/harrierreel/harrierreel/internal/quota"
	"github.com/harrierreel/harrierreel/internal/standby"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// applyChange takes a change of the mirror into the typed state. An unreadable
// record is reported and set aside: it stays in the store, and nothing is
// decided from it.
func (c *Controller) applyChange(key string, value json.RawMessage, revision uint64) {
	c.dirty = true
	switch {
	case c.calendar.Changed(key, value):
	case key == members.ViewKey:
		if v, ok := members.Decode(value); ok {
			c.view = v
			for _, m := range c.Machines {
				m.Owner = c.ownerOf(m.Name)
			}
		} else if value != nil {
			c.log.Error("unreadable view", "stamp", revision)
		}
	case hasPrefix(key, members.MemberPrefix):
		c.membership.ApplyMember(members.NameOfKey(key), value)
	case hasPrefix(key, standby.ProbePrefix):
		c.membership.ApplyProbe(key[len(standby.ProbePrefix):], value)
	case hasPrefix(key, members.CapabilitiesPrefix):
		c.membership.ApplyCapabilities(key[len(members.CapabilitiesPrefix):], value)
	case hasPrefix(key, fleet.UnresponsivePrefix):
		if err := c.shard.ApplyUnresponsive(key[len(fleet.UnresponsivePrefix):], value); err != nil {
			c.log.Error("unreadable list of machines set aside", "key", key, "error", err)
		}
	case hasPrefix(key, jobs.TaskPrefix), hasPrefix(key, taskbatch.KeyPrefix), hasPrefix(key, jobs.JobPrefix):
		c.applyWork(key, value, revision)
	case hasPrefix(key, fleet.MachinePrefix):
		c.applyMachine(key[len(fleet.MachinePrefix):], value)
	case fleet.ClaimsNumber(key) > 0:
		if err := c.queue.ApplyClaims(key, value); err != nil {
			c.log.Error("unreadable claims set aside", "error", err)
		}
	case hasPrefix(key, provisioning.MachineTypePrefix):
		var b jobs.MachineType
		if value == nil {
			delete(c.MachineTypes, key[len(provisioning.MachineTypePrefix):])
		} else if json.Unmarshal(value, &b) == nil && b.Name != "" {
			c.MachineTypes[b.Name] = &b
		} else {
			c.log.Error("unreadable machine type", "key", key)
		}
	case provisioning.IsSummaryKey(key):
		c.provisioner.ApplySummary(key, value)
	case hasPrefix(key, jobs.FinalPrefix):
		c.api.ApplyFinal(key[len(jobs.FinalPrefix):], value)
	case key == quota.StoreKey:
		c.api.ApplyQuota(value)
	case hasPrefix(key, lending.Prefix):
		c.queue.ApplyLoans(key, value)
	case hasPrefix(key, pipelines.RunPrefix):
		c.api.ApplyRun(key[len(pipelines.RunPrefix):], value)
	}
}

// applyWork takes the record of a job or of tasks in.
func (c *Controller) applyWork(key string, value json.RawMessage, revision uint64) {
	var jobIDs []string
	var err error
	switch {
	case hasPrefix(key, taskbatch.KeyPrefix):
		jobIDs, err = c.ApplyBatch(key, value, revision)
	case hasPrefix(key, jobs.TaskPrefix):
		jobIDs = []string{""}
		jobIDs[0], err = c.ApplyTaskRange(key, value)
	default:
		jobIDs = []string{key[len(jobs.JobPrefix):]}
		err = c.ApplyJob(jobIDs[0], value)
	}
	if err != nil {
		c.log.Error("unreadable record set aside", "key", key, "error", err)
	}
	for _, jobID := range jobIDs {
		c.api.RunJobChanged(jobID)
	}
}

// applyMachine takes a machine's record in.
func (c *Controller) applyMachine(name string, value json.RawMessage) {
	c.shard.ReviewMachine(name)
	if err := c.ApplyMachine(name, c.ownerOf(name), value); err != nil {
		c.log.Error("unreadable machine record set aside", "machine", name, "error", err)
	}
	if value == nil {
		c.reachability.MachineRemoved(name)
		c.shard.MachineRemoved(name)
	}
}

func hasPrefix(s, p string) bool { return len(s) > len(p) && s[:len(p)] == p }
