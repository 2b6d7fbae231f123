// Package records is the form of packs: values of the state service that hold the
// records of many jobs' tasks, so that one change says what has become of all of
// them. A pack is JSON with the jobs' names in the clear and the tasks packed:
// protobuf's wire format, so that later versions may add fields, compressed with
// zstd, which brings a checksum (XXH64). No IO, no clock.
package records

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

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
	"github.com/harrierreel/harrierreel/internal/zcoder"
)

// Prefix is that of packs' keys in the state service. They are listed after jobs.
const Prefix = "pack/"

// Form is the newest form of packs that this program reads and writes.
const Form = 1

// Entry is the record of one task in a pack.
type Entry struct {
	UID  string
	N    int // of the job's tasks
	Task jobs.Task
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

	taskJob   = 1 // place in the list of jobs, from 0
	taskN     = 2
	taskState = 3
	taskPart  = 4
	taskSite  = 5
	taskWant  = 6
	taskHost  = 7
	taskTry   = 8
	taskFails = 9
	taskBad   = 10
	taskAfter = 11
	taskWhy   = 12
)

// states numbers the states in packs; new ones are added at the end.
var states = []jobs.TaskState{jobs.Pending, jobs.Released, jobs.Placed, jobs.Stopping, jobs.Finished}

var coder = zcoder.New(tuning.MostUnpacked, append(slices.Clone(zcoder.Small), zstd.WithEncoderLevel(zstd.SpeedFastest))...)

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

func compare(a, b Entry) int { return cmp.Or(strings.Compare(a.UID, b.UID), cmp.Compare(a.N, b.N)) }

// Encode writes a pack. The same entries, in any order, give the same bytes.
func Encode(es []Entry) json.RawMessage {
	if !slices.IsSortedFunc(es, compare) {
		es = slices.Clone(es)
		Sort(es)
	}
	var uids []string
	table := names{at: make(map[string]int, len(es))}
	var tasks, one []byte
	for i := range es {
		if len(uids) == 0 || uids[len(uids)-1] != es[i].UID {
			uids = append(uids, es[i].UID)
		}
		one = appendTask(one[:0], &es[i].Task, len(uids)-1, es[i].N, &table)
		tasks = protowire.AppendTag(tasks, fieldTask, protowire.BytesType)
		tasks = protowire.AppendBytes(tasks, one)
	}
	var b []byte
	for _, name := range table.list {
		b = protowire.AppendTag(b, fieldName, protowire.BytesType)
		b = protowire.AppendString(b, name)
	}
	enc, _ := coder()
	return jobs.Encode(stored{Form, strings.Join(uids, " "), base64.StdEncoding.EncodeToString(enc.EncodeAll(append(b, tasks...), make([]byte, 0, len(b)+len(tasks))))})
}

func appendTask(b []byte, t *jobs.Task, job, n int, table *names) []byte {
	number := func(field protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendTag(b, field, protowire.VarintType)
			b = protowire.AppendVarint(b, v)
		}
	}
	number(taskJob, uint64(job))
	number(taskN, uint64(n))
	number(taskState, uint64(max(slices.Index(states, t.State), 0)))
	number(taskPart, table.place(t.Part))
	number(taskSite, table.place(t.Site))
	number(taskWant, table.place(t.Want))
	number(taskHost, table.place(t.Host))
	number(taskTry, t.Try)
	number(taskFails, uint64(t.Fails))
	for _, h := range t.Bad {
		number(taskBad, table.place(h))
	}
	number(taskAfter, uint64(max(t.After, 0)))
	if t.Why != "" {
		b = protowire.AppendTag(b, taskWhy, protowire.BytesType)
		b = protowire.AppendString(b, t.Why)
	}
	return b
}

// lean leaves out of entries what only helps to choose machines or to explain.
func lean(es []Entry) []Entry {
	es = slices.Clone(es)
	for i := range es {
		es[i].Task.Bad, es[i].Task.Why = nil, ""
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
	if v = Encode(lean(es)); len(v) <= limit {
		return []json.RawMessage{v}
	}
	es = slices.Clone(es)
	Sort(es)
	return append(Split(es[:len(es)/2], limit), Split(es[len(es)/2:], limit)...)
}

var errPack = errors.New("a pack that can't be read")

// Jobs lists the jobs whose tasks a pack holds, also of one whose rest can't be read;
// false if not even they can be told.
func Jobs(v json.RawMessage) ([]string, bool) {
	var s stored
	if json.Unmarshal(v, &s) != nil {
		return nil, false
	}
	return s.uids()
}

func (s *stored) uids() ([]string, bool) {
	if s.Jobs == "" {
		return nil, false
	}
	uids := strings.Split(s.Jobs, " ")
	for _, uid := range uids {
		if !jobs.ValidUID(uid) {
			return nil, false
		}
	}
	return uids, true
}

// Decode reads a pack and checks it. Unknown fields are ignored; an unknown version
// is an error.
func Decode(v json.RawMessage) ([]Entry, error) {
	var s stored
	if err := json.Unmarshal(v, &s); err != nil {
		return nil, err
	}
	if s.Version != Form {
		return nil, fmt.Errorf("unknown version %d of a pack", s.Version)
	}
	uids, ok := s.uids()
	if !ok {
		return nil, errPack
	}
	z, err := base64.StdEncoding.DecodeString(s.Tasks)
	if err != nil {
		return nil, err
	}
	_, dec := coder()
	b, err := dec.DecodeAll(z, nil)
	if err != nil {
		return nil, err
	}
	d := decoder{uids: uids, out: make([]Entry, 0, min(len(b)/entryBytes+1, tuning.MostPacked))}
	for len(b) > 0 {
		if b, err = d.field(b); err != nil {
			return nil, err
		}
	}
	if len(d.out) == 0 {
		return nil, errPack
	}
	return d.out, nil
}

// entryBytes is about what a task takes unpacked, names and all.
const entryBytes = 18

// decoder is what was read of a pack so far.
type decoder struct {
	uids, names []string
	out         []Entry
}

func (d *decoder) field(b []byte) ([]byte, error) {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 {
		return nil, errPack
	}
	b = b[n:]
	if typ != protowire.BytesType || num != fieldName && num != fieldTask {
		if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
			return nil, errPack
		}
		return b[n:], nil
	}
	v, n := protowire.ConsumeBytes(b)
	if n < 0 || len(d.out) >= tuning.MostPacked || len(d.names) >= 4*tuning.MostPacked {
		return nil, errPack
	}
	if num == fieldName {
		d.names = append(d.names, string(v))
		return b[n:], nil
	}
	e, err := d.task(v)
	if err != nil {
		return nil, err
	}
	if k := len(d.out); k > 0 && (d.out[k-1].UID > e.UID || d.out[k-1].UID == e.UID && d.out[k-1].N >= e.N) {
		return nil, errPack // a task twice, or out of order
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
			return e, errPack
		}
		b = b[k:]
		if num == taskWhy && typ == protowire.BytesType {
			v, k := protowire.ConsumeString(b)
			if k < 0 {
				return e, errPack
			}
			t.Why, b = v, b[k:]
			continue
		}
		if typ != protowire.VarintType {
			if k = protowire.ConsumeFieldValue(num, typ, b); k < 0 {
				return e, errPack
			}
			b = b[k:]
			continue
		}
		v, k := protowire.ConsumeVarint(b)
		if k < 0 {
			return e, errPack
		}
		b = b[k:]
		switch num {
		case taskJob:
			job = v
		case taskN:
			n = v
		case taskState:
			state = v
		case taskPart:
			t.Part = name(v)
		case taskSite:
			t.Site = name(v)
		case taskWant:
			t.Want = name(v)
		case taskHost:
			t.Host = name(v)
		case taskTry:
			t.Try = v
		case taskFails:
			fails = v
		case taskBad:
			t.Bad = append(t.Bad, name(v))
		case taskAfter:
			after = v
		}
	}
	if !ok || job >= uint64(len(d.uids)) || n >= jobs.MaxPieces || state >= uint64(len(states)) || fails > 1<<31 || after > 1<<62 {
		return e, errPack
	}
	e.UID, e.N, t.State, t.Fails, t.After = d.uids[job], int(n), states[state], int(fails), int64(after)
	return e, t.Check()
}
