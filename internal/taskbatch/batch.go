// Package taskbatch encodes and decodes batch records: values in the state service that hold the
// records of tasks of many jobs, so that one write can update all of them. A batch record is JSON
// with the job IDs as plain text and the tasks packed. The packed form is the protobuf wire format,
// so that later versions can add fields, compressed with zstd, which adds a checksum (XXH64). The
// package does no IO and reads no clock.
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

// KeyPrefix is the prefix of the keys of batch records in the state service. A starting controller
// lists them after the jobs.
const KeyPrefix = "pack/"

// FormatVersion is the version of the format of batch records that this program reads and writes.
const FormatVersion = 1

// ErrMalformed means that a batch record, or a part of it, cannot be decoded.
var ErrMalformed = errors.New("malformed batch record")

// VersionError reports a batch record of a version that this program does not support.
type VersionError struct {
	Version int
}

// Error returns a message with the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("batch record of unknown version %d", e.Version)
}

// Entry is the record of one task in a batch record.
type Entry struct {
	JobID string
	Index int // among the job's tasks, from 0
	Task  jobs.Task
}

// Sort sorts entries into the order that batch records use: by job ID, then by index.
func Sort(entries []Entry) {
	slices.SortFunc(entries, compare)
}

func compare(a, b Entry) int {
	return cmp.Or(strings.Compare(a.JobID, b.JobID), cmp.Compare(a.Index, b.Index))
}

// stored is the JSON form of a batch record. The job IDs are plain text, so that they remain known
// if the rest of the record cannot be decoded.
type stored struct {
	Version int    `json:"v"`
	Jobs    string `json:"jobs"` // job IDs, separated by spaces
	Tasks   string `json:"z"`    // the packed form, compressed, in base64
}

// Fields of the packed form. Field numbers are never reused.
const (
	fieldName protowire.Number = 1 // name of a machine, zone or controller; tasks refer to its position
	fieldTask protowire.Number = 2
)

// taskField is the number of a field of a task. Field numbers are never reused.
type taskField protowire.Number

// Fields of a task. A name is stored as its position in the list of names, from 1; 0 means none.
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
	taskNotBefore  taskField = 11 // Unix time in ms
	taskReason     taskField = 12 // the text itself, not a position
)

// states lists the task states; batch records store a state as its index here. New states are
// appended at the end.
var states = []jobs.TaskState{jobs.Pending, jobs.Assigned, jobs.Placed, jobs.Stopping, jobs.Finished}

// zstdCodec returns the compressor and the decompressor of all batch records.
var zstdCodec = compression.New(
	tuning.MaxUnpacked,
	append(slices.Clone(compression.SmallRecords), zstd.WithEncoderLevel(zstd.SpeedFastest))...,
)

// JobIDs returns the IDs of the jobs whose tasks a batch record holds, even if the tasks cannot be
// decoded. It returns false if the IDs cannot be decoded either.
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
