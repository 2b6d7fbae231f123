package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Decode reads a pack and checks it. Unknown fields are ignored; an unknown version
// is an error.
func Decode(v json.RawMessage) ([]Entry, error) {
	var s stored
	if err := json.Unmarshal(v, &s); err != nil {
		return nil, err
	}
	if s.Version != FormatVersion {
		return nil, fmt.Errorf("unknown version %d of a pack", s.Version)
	}
	jobIDs, ok := s.jobIDs()
	if !ok {
		return nil, errMalformed
	}
	z, err := base64.StdEncoding.DecodeString(s.Tasks)
	if err != nil {
		return nil, err
	}
	_, dec := zstdCoder()
	b, err := dec.DecodeAll(z, nil)
	if err != nil {
		return nil, err
	}
	d := decoder{jobIDs: jobIDs, out: make([]Entry, 0, min(len(b)/entryBytes+1, tuning.MaxBatchTasks))}
	for len(b) > 0 {
		if b, err = d.field(b); err != nil {
			return nil, err
		}
	}
	if len(d.out) == 0 {
		return nil, errMalformed
	}
	return d.out, nil
}

// entryBytes is about what a task takes unpacked, names and all.
const entryBytes = 18

// decoder is what was read of a pack so far.
type decoder struct {
	jobIDs, names []string
	out           []Entry
}

func (d *decoder) field(b []byte) ([]byte, error) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, errMalformed
	}
	b = b[n:]
	if typ != protowire.BytesType || num != fieldName && num != fieldTask {
		if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
			return nil, errMalformed
		}
		return b[n:], nil
	}
	v, n := protowire.ConsumeBytes(b)
	if n < 0 || len(d.out) >= tuning.MaxBatchTasks || len(d.names) >= 4*tuning.MaxBatchTasks {
		return nil, errMalformed
	}
	if num == fieldName {
		d.names = append(d.names, string(v))
		return b[n:], nil
	}
	e, err := d.task(v)
	if err != nil {
		return nil, err
	}
	if k := len(d.out); k > 0 && (d.out[k-1].JobID > e.JobID || d.out[k-1].JobID == e.JobID && d.out[k-1].Index >= e.Index) {
		return nil, errMalformed // a task twice, or out of order
	}
	d.out = append(d.out, e)
	return b[n:], nil
}

// task reads one task's record.
func (d *decoder) task(b []byte) (Entry, error) {
	var job, n, state, fails, after uint64
	var e Entry
	t := &e.Task
	ok := true
	name := func(v uint64) string {
		if v == 0 || v > uint64(len(d.names)) {
			ok = false
			return ""
		}
		return d.names[v-1]
	}
	for len(b) > 0 {
		num, typ, k := protowire.ConsumeTag(b)
		if k < 0 {
			return e, errMalformed
		}
		b = b[k:]
		if num == taskReason && typ == protowire.BytesType {
			v, k := protowire.ConsumeString(b)
			if k < 0 {
				return e, errMalformed
			}
			t.Reason, b = v, b[k:]
			continue
		}
		if typ != protowire.VarintType {
			if k = protowire.ConsumeFieldValue(num, typ, b); k < 0 {
				return e, errMalformed
			}
			b = b[k:]
			continue
		}
		v, k := protowire.ConsumeVarint(b)
		if k < 0 {
			return e, errMalformed
		}
		b = b[k:]
		switch num {
		case taskJob:
			job = v
		case taskIndex:
			n = v
		case taskState:
			state = v
		case taskController:
			t.Controller = name(v)
		case taskZone:
			t.Zone = name(v)
		case taskPreferred:
			t.PreferredMachine = name(v)
		case taskMachine:
			t.Machine = name(v)
		case taskAttempt:
			t.Attempt = v
		case taskFailures:
			fails = v
		case taskFailedOn:
			t.FailedOn = append(t.FailedOn, name(v))
		case taskNotBefore:
			after = v
		}
	}
	if !ok || job >= uint64(len(d.jobIDs)) || n >= jobs.MaxTasks || state >= uint64(len(states)) || fails > 1<<31 || after > 1<<62 {
		return e, errMalformed
	}
	e.JobID, e.Index, t.State, t.Failures, t.NotBeforeMs = d.jobIDs[job], int(n), states[state], int(fails), int64(after)
	return e, t.Check()
}
