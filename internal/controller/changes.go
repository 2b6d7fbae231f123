package controller

import (
	"encoding/json"
	"strings"

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

// change is one change of the mirror.
type change struct {
	key      string
	name     string          // the key after the prefix by which its handler was found
	value    json.RawMessage // nil: the key was removed
	revision uint64
}

// recordHandler says who takes in the changes of which keys. Exactly one of key, prefix and
// holds is set.
type recordHandler struct {
	key    string
	prefix string // of longer keys: the prefix alone is no record's key
	holds  func(key string) bool
	apply  func(c *Controller, record change)
}

// recordHandlers are all records that the controller keeps in memory, but for the calendar's.
// The first that fits a key takes its change in.
var recordHandlers = []recordHandler{
	{key: members.ViewKey, apply: (*Controller).applyView},
	{prefix: members.MemberPrefix, apply: (*Controller).applyMember},
	{prefix: standby.ProbePrefix, apply: (*Controller).applyProbe},
	{prefix: members.CapabilitiesPrefix, apply: (*Controller).applyCapabilities},
	{prefix: fleet.UnresponsivePrefix, apply: (*Controller).applyUnresponsive},
	{prefix: jobs.TaskPrefix, apply: (*Controller).applyTaskRange},
	{prefix: taskbatch.KeyPrefix, apply: (*Controller).applyBatch},
	{prefix: jobs.JobPrefix, apply: (*Controller).applyJob},
	{prefix: fleet.MachinePrefix, apply: (*Controller).applyMachine},
	{holds: isClaimsKey, apply: (*Controller).applyClaims},
	{prefix: provisioning.MachineTypePrefix, apply: (*Controller).applyMachineType},
	{holds: provisioning.IsSummaryKey, apply: (*Controller).applySummary},
	{prefix: jobs.FinalPrefix, apply: (*Controller).applyFinal},
	{key: quota.StoreKey, apply: (*Controller).applyQuota},
	{prefix: lending.Prefix, apply: (*Controller).applyLoans},
	{prefix: pipelines.RunPrefix, apply: (*Controller).applyRun},
}

// match tells whether the handler takes in changes of a key, and the key after its prefix.
func (h *recordHandler) match(key string) (name string, ok bool) {
	switch {
	case h.key != "":
		return key, key == h.key
	case h.prefix != "":
		return strings.TrimPrefix(key, h.prefix), hasPrefix(key, h.prefix)
	default:
		return key, h.holds(key)
	}
}

// applyChange takes a change of the mirror into the typed state. An unreadable
// record is logged and quarantined: it stays in the store, and nothing is
// decided from it.
func (c *Controller) applyChange(key string, value json.RawMessage, revision uint64) {
	c.dirty = true
	if c.calendar.Changed(key, value) {
		return
	}
	for i := range recordHandlers {
		handler := &recordHandlers[i]
		if name, ok := handler.match(key); ok {
			handler.apply(c, change{key: key, name: name, value: value, revision: revision})
			return
		}
	}
}

// logUnreadable logs a record that was quarantined, if err says that one was.
func (c *Controller) logUnreadable(record change, err error) {
	if err != nil {
		c.log.Error("unreadable record quarantined", "key", record.key, "error", err)
	}
}

// applyView takes in the view and gives each machine its owner under it. An unreadable view
// changes nothing: the last one stays in force.
func (c *Controller) applyView(record change) {
	view, ok := members.Decode(record.value)
	if !ok {
		if record.value != nil {
			c.log.Error("unreadable view ignored", "key", record.key, "revision", record.revision)
		}
		return
	}
	c.view = view
	for _, m := range c.state.Machines {
		m.Owner = c.ownerOf(m.Name)
	}
}

func (c *Controller) applyMember(record change) { c.membership.ApplyMember(record.name, record.value) }

func (c *Controller) applyProbe(record change) { c.membership.ApplyProbe(record.name, record.value) }

func (c *Controller) applyCapabilities(record change) {
	c.membership.ApplyCapabilities(record.name, record.value)
}

func (c *Controller) applyUnresponsive(record change) {
	c.logUnreadable(record, c.shard.ApplyUnresponsive(record.name, record.value))
}

func (c *Controller) applyTaskRange(record change) {
	jobID, err := c.state.ApplyTaskRange(record.key, record.value)
	c.logUnreadable(record, err)
	c.api.RunJobChanged(jobID)
}

func (c *Controller) applyBatch(record change) {
	jobIDs, err := c.state.ApplyBatch(record.key, record.value, record.revision)
	c.logUnreadable(record, err)
	for _, jobID := range jobIDs {
		c.api.RunJobChanged(jobID)
	}
}

func (c *Controller) applyJob(record change) {
	c.logUnreadable(record, c.state.ApplyJob(record.name, record.value))
	c.api.RunJobChanged(record.name)
}

func (c *Controller) applyMachine(record change) {
	c.shard.ReviewMachine(record.name)
	c.logUnreadable(record, c.state.ApplyMachine(record.name, c.ownerOf(record.name), record.value))
	if record.value == nil {
		c.reachability.MachineRemoved(record.name)
		c.shard.MachineRemoved(record.name)
	}
}

func isClaimsKey(key string) bool { return fleet.ClaimsNumber(key) > 0 }

func (c *Controller) applyClaims(record change) {
	c.logUnreadable(record, c.queue.ApplyClaims(record.key, record.value))
}

// applyMachineType takes in a machine type. One that cannot be read leaves the known one.
func (c *Controller) applyMachineType(record change) {
	if record.value == nil {
		delete(c.state.MachineTypes, record.name)
		return
	}
	var machineType jobs.MachineType
	err := json.Unmarshal(record.value, &machineType)
	if err != nil || machineType.Name == "" {
		c.log.Error("unreadable machine type ignored", "key", record.key, "error", err)
		return
	}
	c.state.MachineTypes[machineType.Name] = &machineType
}

func (c *Controller) applySummary(record change) {
	c.provisioner.ApplySummary(record.key, record.value)
}

func (c *Controller) applyFinal(record change) { c.api.ApplyFinal(record.name, record.value) }

func (c *Controller) applyQuota(record change) { c.api.ApplyQuota(record.value) }

func (c *Controller) applyLoans(record change) { c.queue.ApplyLoans(record.key, record.value) }

func (c *Controller) applyRun(record change) { c.api.ApplyRun(record.name, record.value) }

// hasPrefix tells whether a key is longer than the prefix and begins with it.
func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && strings.HasPrefix(key, prefix)
}
