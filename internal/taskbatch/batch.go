// Package taskbatch is the form of batch records: values of the state service that hold the
// records of many jobs' tasks, so that one write says what has become of all of them. A batch
// record is JSON with the jobs' IDs in the clear and the tasks packed: protobuf's wire format,
// so that later versions may add fields, compressed with zstd, which brings a checksum (XXH64).
// No IO, no clock.
package taskbatch

import (
	"cmp"
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

// KeyPrefix begins the keys of batch records in the state service. They are listed after jobs.
const KeyPrefix = "pack/"

// FormatVersion is the newest form of batch records that this program reads and writes.
const FormatVersion = 1

// ErrMalformed means that a batch record, or a part of it, cannot be read.
var ErrMalformed = errors.New("malformed batch record")

// VersionError is a batch record of a form that this program does not know.
type VersionError struct {
	Version int
}

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("batch record of unknown version %d", e.Version)
}

// Entry is the record of one task in a batch record.
type Entry struct {
	JobID string
	Index int // among the job's tasks, from 0
	Task  jobs.Task
}

// Sort puts entries in the order of batch records: by job, then by index.
func Sort(entries []Entry) {
	slices.SortFunc(entries, compare)
}

func compare(a, b Entry) int {
	return cmp.Or(strings.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
}

// stored is a batch record as stored. The jobs' IDs stand in the clear, so that of a record
// whose rest cannot be read it is still known whose tasks it holds.
type stored struct {
	Version int    `json:"v"`
	Jobs    string `json:"jobs"` // their IDs, separated by spaces
	Tasks   string `json:"z"`    // fields as below, compressed, in base64
}

// Fields of the packed form. Field numbers are never used for something else.
const (
	fieldName protowire.Number = 1 // of a machine, zone or controller; tasks name it by its position
	fieldTask protowire.Number = 2
)

// taskField is a field of one task. Numbers are never used for something else.
type taskField protowire.Number

// Fields of a task. Names are positions in the list of names, from 1; 0 is none.
const (
	taskJob        taskField = 1 // position in the list of jobs, from 0
	taskIndex      taskField = 2
	taskState      taskField = 3 // position in states
	taskController taskField = 4
	taskZone       taskField = 5
	taskPreferred  taskField = 6
	taskMachine    taskField = 7
	taskAttempt    taskField = 8
	taskFailures   taskField = 9
	taskFailedOn   taskField = 10 // repeated
	taskNotBefore  taskField = 11 // ms since 1970
	taskReason     taskField = 12 // the text itself
)

// states numbers the states of tasks in batch records; new ones are added at the end.
var states = []jobs.TaskState{jobs.Pending, jobs.Assigned, jobs.Placed, jobs.Stopping, jobs.Finished}

// zstdCodec is the compressor and decompressor of all batch records.
var zstdCodec = compression.New(
	tuning.MaxUnpacked,
	append(slices.Clone(compression.SmallRecords), zstd.WithEncoderLevel(zstd.SpeedFastest))...,
)

// JobIDs lists the jobs whose tasks a batch record holds, also of one whose rest can't be read;
// false if not even they can be told.
func JobIDs(value json.RawMessage) ([]string, bool) {
	var s stored
	if json.Unmarshal(value, &s) != nil {
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
