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

// change is a change of one key in the mirror.
type change struct {
	key      string
	name     string          // the key without its handler's prefix
	value    json.RawMessage // nil if the key was removed
	revision uint64
}

// recordHandler applies the changes of the keys that it matches. Exactly one of key, prefix and
// matches is set.
type recordHandler struct {
	key     string
	prefix  string // matches longer keys only; the prefix itself is not a key
	matches func(key string) bool
	apply   func(c *Controller, record change)
}

// recordHandlers covers all records that the controller keeps in memory, except the calendar's.
// The first handler that matches a key applies its change.
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
	{matches: isClaimsKey, apply: (*Controller).applyClaims},
	{prefix: provisioning.MachineTypePrefix, apply: (*Controller).applyMachineType},
	{matches: provisioning.IsSummaryKey, apply: (*Controller).applySummary},
	{prefix: jobs.FinalPrefix, apply: (*Controller).applyFinal},
	{key: quota.StoreKey, apply: (*Controller).applyQuota},
	{prefix: lending.Prefix, apply: (*Controller).applyLoans},
	{prefix: pipelines.RunPrefix, apply: (*Controller).applyRun},
}

// match reports whether the handler applies to a key, and returns the key without the prefix.
func (h *recordHandler) match(key string) (name string, ok bool) {
	switch {
	case h.key != "":
		return key, key == h.key
	case h.prefix != "":
		return strings.TrimPrefix(key, h.prefix), hasPrefix(key, h.prefix)
	default:
		return key, h.matches(key)
	}
}

// applyChange applies a change of the mirror to the typed state. An unreadable record is logged
// and quarantined: it stays in the store, and no decision is based on it.
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

// logUnreadable logs that a record was quarantined if err, from applying it, is not nil.
func (c *Controller) logUnreadable(record change, err error) {
	if err != nil {
		c.log.Error("unreadable record quarantined", "key", record.key, "error", err)
	}
}

// applyView applies a new view and updates the owner of each machine. An unreadable view is
// ignored: the last one stays in force.
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
	// A member that ends leaves no capabilities; what it last declared stays true of its answers
	// until it declares something else.
	if capabilities, ok := c.membership.Capabilities(record.name); ok {
		c.acks.SetConfirms(record.name, capabilities.ConfirmsAcks)
	}
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

// applyMachineType applies a machine type. An unreadable record leaves the known one in place.
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

// hasPrefix reports whether a key begins with the prefix and is longer than it.
func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && strings.HasPrefix(key, prefix)
}
