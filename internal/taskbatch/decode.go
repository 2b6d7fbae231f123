package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

const (
	// entryBytes is the approximate size of a task and its names in the packed form, uncompressed.
	entryBytes = 18
	// maxNames is the maximum number of names in a batch record: four per task.
	maxNames = 4 * tuning.MaxBatchTasks
	// maxFailures and maxNotBeforeMs keep decoded numbers within the types of jobs.Task's fields.
	maxFailures    = 1 << 31
	maxNotBeforeMs = 1 << 62
)

// Decode decodes and validates a batch record. Unknown fields are ignored. The error is a
// *VersionError for an unknown version and wraps ErrMalformed otherwise.
func Decode(value json.RawMessage) ([]Entry, error) {
	var s stored
	if err := json.Unmarshal(value, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if s.Version != FormatVersion {
		return nil, &VersionError{Version: s.Version}
	}
	jobIDs, ok := s.jobIDs()
	if !ok {
		return nil, fmt.Errorf("%w: invalid list of job IDs", ErrMalformed)
	}
	packed, err := unpack(s.Tasks)
	if err != nil {
		return nil, err
	}
	d := decoder{
		jobIDs:  jobIDs,
		entries: make([]Entry, 0, min(len(packed)/entryBytes+1, tuning.MaxBatchTasks)),
	}
	for len(packed) > 0 {
		if packed, err = d.field(packed); err != nil {
			return nil, err
		}
	}
	if len(d.entries) == 0 {
		return nil, fmt.Errorf("%w: no tasks", ErrMalformed)
	}
	return d.entries, nil
}

// unpack decodes the base64 text and decompresses it, which verifies the checksum.
func unpack(tasks string) ([]byte, error) {
	compressed, err := base64.StdEncoding.DecodeString(tasks)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	_, decompressor := zstdCodec()
	packed, err := decompressor.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return packed, nil
}

// decoder holds what has been decoded of a batch record so far.
type decoder struct {
	jobIDs  []string
	names   []string
	entries []Entry
}

// field decodes one field of the packed form and returns the rest of b.
func (d *decoder) field(b []byte) ([]byte, error) {
	number, wireType, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, fmt.Errorf("%w: invalid field tag", ErrMalformed)
	}
	b = b[n:]
	if wireType != protowire.BytesType || number != fieldName && number != fieldTask {
		return skipField(b, number, wireType)
	}
	value, n := protowire.ConsumeBytes(b)
	if n < 0 {
		return nil, fmt.Errorf("%w: field %d", ErrMalformed, number)
	}
	if len(d.entries) >= tuning.MaxBatchTasks || len(d.names) >= maxNames {
		return nil, fmt.Errorf("%w: too many tasks or names", ErrMalformed)
	}
	if number == fieldName {
		d.names = append(d.names, string(value))
		return b[n:], nil
	}
	entry, err := d.entry(value)
	if err != nil {
		return nil, err
	}
	if k := len(d.entries); k > 0 && compare(d.entries[k-1], entry) >= 0 {
		return nil, fmt.Errorf("%w: task %s twice or out of order", ErrMalformed, jobs.TaskID(entry.JobID, entry.Index))
	}
	d.entries = append(d.entries, entry)
	return b[n:], nil
}

// skipField skips the value of an unknown field and returns the rest of b.
func skipField(b []byte, number protowire.Number, wireType protowire.Type) ([]byte, error) {
	n := protowire.ConsumeFieldValue(number, wireType, b)
	if n < 0 {
		return nil, fmt.Errorf("%w: field %d", ErrMalformed, number)
	}
	return b[n:], nil
}

// entry decodes the record of one task.
func (d *decoder) entry(b []byte) (Entry, error) {
	t := taskDecoder{names: d.names}
	var err error
	for len(b) > 0 {
		if b, err = t.field(b); err != nil {
			return Entry{}, err
		}
	}
	if t.outOfRange || t.job >= uint64(len(d.jobIDs)) || t.state >= uint64(len(states)) {
		return Entry{}, fmt.Errorf("%w: position of a name, job or state out of range", ErrMalformed)
	}
	if t.index >= jobs.MaxTasks || t.failures > maxFailures || t.notBeforeMs > maxNotBeforeMs {
		return Entry{}, fmt.Errorf("%w: number out of range", ErrMalformed)
	}
	t.task.State = states[t.state]
	t.task.Failures = int(t.failures)
	t.task.NotBeforeMs = int64(t.notBeforeMs)
	entry := Entry{JobID: d.jobIDs[t.job], Index: int(t.index), Task: t.task}
	if err := entry.Task.Check(); err != nil {
		return Entry{}, fmt.Errorf("%w: task %s: %w", ErrMalformed, jobs.TaskID(entry.JobID, entry.Index), err)
	}
	return entry, nil
}

// taskDecoder holds what has been decoded of a task so far. Its numbers are not validated yet.
type taskDecoder struct {
	names      []string
	outOfRange bool // the position of a name was invalid

	task        jobs.Task
	job         uint64 // position in the list of jobs
	index       uint64
	state       uint64 // position in states
	failures    uint64
	notBeforeMs uint64
}

// field decodes one field of a task and returns the rest of b.
func (t *taskDecoder) field(b []byte) ([]byte, error) {
	number, wireType, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, fmt.Errorf("%w: invalid field tag in a task", ErrMalformed)
	}
	b = b[n:]
	if wireType == protowire.VarintType {
		value, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, fmt.Errorf("%w: field %d of a task", ErrMalformed, number)
		}
		t.set(taskField(number), value)
		return b[n:], nil
	}
	if taskField(number) == taskReason && wireType == protowire.BytesType {
		reason, n := protowire.ConsumeString(b)
		if n < 0 {
			return nil, fmt.Errorf("%w: invalid reason of a task", ErrMalformed)
		}
		t.task.Reason = reason
		return b[n:], nil
	}
	return skipField(b, number, wireType)
}

// set stores the decoded number of a field. Unknown fields, which later versions may add, are
// ignored.
func (t *taskDecoder) set(field taskField, value uint64) {
	switch field {
	case taskJob:
		t.job = value
	case taskIndex:
		t.index = value
	case taskState:
		t.state = value
	case taskController:
		t.task.Controller = t.name(value)
	case taskZone:
		t.task.Zone = t.name(value)
	case taskPreferred:
		t.task.PreferredMachine = t.name(value)
	case taskMachine:
		t.task.Machine = t.name(value)
	case taskAttempt:
		t.task.Attempt = value
	case taskFailures:
		t.failures = value
	case taskFailedOn:
		t.task.FailedOn = append(t.task.FailedOn, t.name(value))
	case taskNotBefore:
		t.notBeforeMs = value
	case taskReason:
		// The reason is text and is never encoded as a number.
	}
}

// name returns the name at a position, from 1.
func (t *taskDecoder) name(position uint64) string {
	if position == 0 || position > uint64(len(t.names)) {
		t.outOfRange = true
		return ""
	}
	return t.names[position-1]
}
