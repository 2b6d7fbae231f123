package jobs

import (
	"strconv"
	"strings"
)

// Key prefixes in the state service. Final records have a prefix of their own, so that a
// controller reads only records of live jobs when it starts.
const (
	JobPrefix   = "job/"   // JobPrefix + job ID: Record
	TaskPrefix  = "task/"  // see TaskRangeKey: a task range
	FinalPrefix = "final/" // FinalPrefix + job ID: StoredState
)

// ValidID reports whether jobID has the form of a job ID: wk- and 1 to 19 digits.
func ValidID(jobID string) bool {
	digits, ok := strings.CutPrefix(jobID, "wk-")
	if !ok || len(digits) == 0 || len(digits) > 19 {
		return false
	}
	for _, c := range []byte(digits) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskID returns the ID of a task: the job's ID and the task's index.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the inverse of TaskID. ok is false if taskID is not a task's ID.
func SplitTaskID(taskID string) (jobID string, index int, ok bool) {
	jobID, digits, found := strings.Cut(taskID, "/")
	if !found || !ValidID(jobID) || len(digits) > 6 {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks || strconv.Itoa(index) != digits {
		return "", 0, false
	}
	return jobID, index, true
}

// TaskRangeKey returns the key of the task range that begins with task firstTask.
func TaskRangeKey(jobID string, firstTask int) string { return TaskPrefix + TaskID(jobID, firstTask) }
