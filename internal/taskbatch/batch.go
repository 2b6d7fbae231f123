// Package taskbatch is the form of packs: values of the state service that hold the
// records of many jobs' tasks, so that one change says what has become of all of
// them. A pack is JSON with the jobs' names in the clear and the tasks packed:
// protobuf's wire format, so that later versions may add fields, compressed with
// zstd, which brings a checksum (XXH64). No IO, no clock.
package taskbatch

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"github.com/klauspost/compress/zstd"

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

// Sort puts entries in the order of packs: by job, then by number.
func Sort(es []Entry) {
	slices.SortFunc(es, compare)
}

func compare(a, b Entry) int {
	return cmp.Or(strings.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
}

// stored is a pack as stored. The jobs' names stand in the clear, so that of a pack
// whose rest cannot be read it is still known whose tasks it holds.
type stored struct {
	Version int    `json:"v"`
	Jobs    string `json:"jobs"` // their uids, with spaces between
	Tasks   string `json:"z"`
}

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

var errMalformed = errors.New("a pack that can't be read")

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
