// Package taskbatch is the form of packs: values of the state service that hold the
// records of many jobs' tasks, so that one change says what has become of all of
// them. A pack is JSON with the jobs' names in the clear and the tasks packed:
// protobuf's wire format, so that later versions may add fields, compressed with
// zstd, which brings a checksum (XXH64). No IO, no clock.
package taskbatch

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/harrierreel/harrierreel/internal/compression"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// KeyPrefix is that of packs' keys in the state service. They are listed after jobs.
const KeyPrefix = "pack/"

// FormatVersion is the newest form of packs that this program reads and writes.
const FormatVersion = 1

// Entry is the record of one task in a pack.
type Entry struct {
	JobID string
	Index int // of the job's tasks
	Task  jobs.Task
}

// stored is a pack as stored. The jobs' names stand in the clear, so that of a pack
// whose rest cannot be read it is still known whose tasks it holds.
type stored struct {
	Version int    `json:"v"`
	Jobs    string `json:"jobs"` // their uids, with spaces between
	Tasks   string `json:"z"`
}

// Fields of the packed form. Field numbers are never used for something else.
const (
	fieldName = 1 // of a machine, zone or controller; tasks name them by their place, from 1
	fieldTask = 2

	taskJob        = 1 // place in the list of jobs, from 0
	taskIndex      = 2
	taskState      = 3
	taskController = 4
	taskZone       = 5
	taskPreferred  = 6
	taskMachine    = 7
	taskAttempt    = 8
	taskFailures   = 9
	taskFailedOn   = 10
	taskNotBefore  = 11
	taskReason     = 12
)

// states numbers the states in packs; new ones are added at the end.
var states = []jobs.TaskState{jobs.Pending, jobs.Released, jobs.Placed, jobs.Stopping, jobs.Finished}

var zstdCoder = compression.New(tuning.MaxUnpacked, append(slices.Clone(compression.SmallRecords), zstd.WithEncoderLevel(zstd.SpeedFastest))...)

// names is a table of names as it grows.
type names struct {
	list []string
	at   map[string]int
}

// place is a name's place from 1, 0 for none.
func (s *names) place(name string) uint64 {
	if name == "" {
		return 0
	}
	i, ok := s.at[name]
	if !ok {
		s.list = append(s.list, name)
		i = len(s.list)
		s.at[name] = i
	}
	return uint64(i)
}

// Sort puts entries in the order of packs: by job, then by number.
func Sort(es []Entry) {
	slices.SortFunc(es, compare)
}

func compare(a, b Entry) int {
	return cmp.Or(strings.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
}

// Encode writes a pack. The same entries, in any order, give the same bytes.
func Encode(es []Entry) json.RawMessage {
	if !slices.IsSortedFunc(es, compare) {
		es = slices.Clone(es)
		Sort(es)
	}
	var jobIDs []string
	table := names{at: make(map[string]int, len(es))}
	var tasks, one []byte
	for i := range es {
		if len(jobIDs) == 0 || jobIDs[len(jobIDs)-1] != es[i].JobID {
			jobIDs = append(jobIDs, es[i].JobID)
		}
		one = appendTask(one[:0], &es[i].Task, len(jobIDs)-1, es[i].Index, &table)
		tasks = protowire.AppendTag(tasks, fieldTask, protowire.BytesType)
		tasks = protowire.AppendBytes(tasks, one)
	}
	var b []byte
	for _, name := range table.list {
		b = protowire.AppendTag(b, fieldName, protowire.BytesType)
		b = protowire.AppendString(b, name)
	}
	enc, _ := zstdCoder()
	return jobs.Encode(stored{FormatVersion, strings.Join(jobIDs, " "), base64.StdEncoding.EncodeToString(enc.EncodeAll(append(b, tasks...), make([]byte, 0, len(b)+len(tasks))))})
}

func appendTask(b []byte, t *jobs.Task, job, n int, table *names) []byte {
	number := func(field protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendTag(b, field, protowire.VarintType)
			b = protowire.AppendVarint(b, v)
		}
	}
	number(taskJob, uint64(job))
	number(taskIndex, uint64(n))
	number(taskState, uint64(max(slices.Index(states, t.State), 0)))
	number(taskController, table.place(t.Controller))
	number(taskZone, table.place(t.Zone))
	number(taskPreferred, table.place(t.PreferredMachine))
	number(taskMachine, table.place(t.Machine))
	number(taskAttempt, t.Attempt)
	number(taskFailures, uint64(t.Failures))
	for _, h := range t.FailedOn {
		number(taskFailedOn, table.place(h))
	}
	number(taskNotBefore, uint64(max(t.NotBeforeMs, 0)))
	if t.Reason != "" {
		b = protowire.AppendTag(b, taskReason, protowire.BytesType)
		b = protowire.AppendString(b, t.Reason)
	}
	return b
}

// withoutPlacementInfo leaves out of entries what only helps to choose machines or to explain.
func withoutPlacementInfo(es []Entry) []Entry {
	es = slices.Clone(es)
	for i := range es {
		es[i].Task.FailedOn, es[i].Task.Reason = nil, ""
	}
	return es
}

// Split writes entries as one pack of at most limit bytes, or as many as it takes;
// where one would do without what is only helpful, that is left out. The first goes
// under the key that the entries had.
func Split(es []Entry, limit int) []json.RawMessage {
	v := Encode(es)
	if len(v) <= limit || len(es) <= 1 {
		return []json.RawMessage{v}
	}
	if v = Encode(withoutPlacementInfo(es)); len(v) <= limit {
		return []json.RawMessage{v}
	}
	es = slices.Clone(es)
	Sort(es)
	return append(Split(es[:len(es)/2], limit), Split(es[len(es)/2:], limit)...)
}

var errMalformed = errors.New("a pack that can't be read")

// JobIDs lists the jobs whose tasks a pack holds, also of one whose rest can't be read;
// false if not even they can be told.
func JobIDs(v json.RawMessage) ([]string, bool) {
	var s stored
	if json.Unmarshal(v, &s) != nil {
		return nil, false
	}
	return s.jobIDs()
}

func (s *stored) jobIDs() ([]string, bool) {
	if s.Jobs == "" {
		return nil, false
	}
	jobIDs := strings.Split(s.Jobs, " ")
	for _, jobID := range jobIDs {
		if !jobs.ValidID(jobID) {
			return nil, false
		}
	}
	return jobIDs, true
}

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
