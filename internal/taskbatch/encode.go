package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// nameTable assigns positions to the names that the tasks of a batch record refer to.
type nameTable struct {
	names     []string
	positions map[string]int // from 1
}

// position returns the position of a name, from 1, and adds the name if it is new. It returns 0 for
// the empty name.
func (t *nameTable) position(name string) uint64 {
	if name == "" {
		return 0
	}
	position, ok := t.positions[name]
	if !ok {
		t.names = append(t.names, name)
		position = len(t.names)
		t.positions[name] = position
	}
	return uint64(position)
}

// Encode encodes entries as a batch record. The result does not depend on their order.
func Encode(entries []Entry) json.RawMessage {
	if !slices.IsSortedFunc(entries, compare) {
		entries = slices.Clone(entries)
		Sort(entries)
	}
	var jobIDs []string
	table := nameTable{positions: make(map[string]int, len(entries))}
	var tasks, task []byte
	for i := range entries {
		entry := &entries[i]
		if len(jobIDs) == 0 || jobIDs[len(jobIDs)-1] != entry.JobID {
			jobIDs = append(jobIDs, entry.JobID)
		}
		task = appendTask(task[:0], entry, len(jobIDs)-1, &table)
		tasks = protowire.AppendTag(tasks, fieldTask, protowire.BytesType)
		tasks = protowire.AppendBytes(tasks, task)
	}
	// Names come first, so that a decoder knows them when it reaches the tasks.
	var packed []byte
	for _, name := range table.names {
		packed = protowire.AppendTag(packed, fieldName, protowire.BytesType)
		packed = protowire.AppendString(packed, name)
	}
	packed = append(packed, tasks...)
	encoder, _ := zstdCodec()
	compressed := encoder.EncodeAll(packed, make([]byte, 0, len(packed)))
	return jobs.Encode(stored{
		Version: FormatVersion,
		Jobs:    strings.Join(jobIDs, " "),
		Tasks:   base64.StdEncoding.EncodeToString(compressed),
	})
}

// appendTask appends the fields of one task to b. jobPosition is its job's position in the list of
// jobs, from 0.
func appendTask(b []byte, entry *Entry, jobPosition int, table *nameTable) []byte {
	t := &entry.Task
	b = appendNumber(b, taskJob, uint64(jobPosition))
	b = appendNumber(b, taskIndex, uint64(entry.Index))
	b = appendNumber(b, taskState, uint64(max(slices.Index(states, t.State), 0)))
	b = appendNumber(b, taskController, table.position(t.Controller))
	b = appendNumber(b, taskZone, table.position(t.Zone))
	b = appendNumber(b, taskPreferred, table.position(t.PreferredMachine))
	b = appendNumber(b, taskMachine, table.position(t.Machine))
	b = appendNumber(b, taskAttempt, t.Attempt)
	b = appendNumber(b, taskFailures, uint64(t.Failures))
	for _, machine := range t.FailedOn {
		b = appendNumber(b, taskFailedOn, table.position(machine))
	}
	b = appendNumber(b, taskNotBefore, uint64(max(t.NotBeforeMs, 0)))
	if t.Reason != "" {
		b = protowire.AppendTag(b, protowire.Number(taskReason), protowire.BytesType)
		b = protowire.AppendString(b, t.Reason)
	}
	return b
}

// appendNumber appends a numeric field to b unless its value is 0.
func appendNumber(b []byte, field taskField, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, protowire.Number(field), protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

// withoutPlacementInfo returns a copy of entries without the optional fields, which only help to
// choose machines or explain the state.
func withoutPlacementInfo(entries []Entry) []Entry {
	entries = slices.Clone(entries)
	for i := range entries {
		entries[i].Task.FailedOn = nil
		entries[i].Task.Reason = ""
	}
	return entries
}

// Split encodes entries as one batch record of at most limit bytes, or as several if they do not
// fit. Optional fields (see withoutPlacementInfo) are dropped if that makes the entries fit into
// one record. The first record belongs under the key that the entries had before. A record of a
// single entry may exceed limit.
func Split(entries []Entry, limit int) []json.RawMessage {
	value := Encode(entries)
	if len(value) <= limit || len(entries) <= 1 {
		return []json.RawMessage{value}
	}
	value = Encode(withoutPlacementInfo(entries))
	if len(value) <= limit {
		return []json.RawMessage{value}
	}
	entries = slices.Clone(entries)
	Sort(entries)
	half := len(entries) / 2
	return append(Split(entries[:half], limit), Split(entries[half:], limit)...)
}
