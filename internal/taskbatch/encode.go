package taskbatch

import (
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

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
