package jobs

import (
	"strconv"
	"strings"
)

// Key prefixes in the state service. Live records and final ones are kept apart, so that a
// controller that starts reads only what is live.
const (
	JobPrefix   = "job/"   // followed by the job's id: its Record
	TaskPrefix  = "task/"  // TaskRangeKey: a task range
	FinalPrefix = "final/" // followed by the job's id: its Final
)

// ValidID tells whether an id has the form of job ids: wk- and 1 to 19 digits.
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

// TaskID is the id of a task: its job's id and its index.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the inverse of TaskID; false for what TaskID never returns.
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

// TaskRangeKey is the key of the task range that begins with firstTask.
func TaskRangeKey(jobID string, firstTask int) string { return TaskPrefix + TaskID(jobID, firstTask) }
