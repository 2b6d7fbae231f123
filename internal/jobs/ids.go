package jobs

import (
	"strconv"
	"strings"
)

// Key prefixes in the state service. Live records and final ones are kept
// apart, so that a restart reads only what is live.
const (
	JobPrefix   = "job/"
	TaskPrefix  = "task/"
	FinalPrefix = "final/"
)

// ValidID tells whether an id has the form of job ids.
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

// TaskID is the name of a task.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }

// SplitTaskID is the inverse of TaskID.
func SplitTaskID(taskID string) (jobID string, n int, ok bool) {
	jobID, index, found := strings.Cut(taskID, "/")
	if !found || !ValidID(jobID) || len(index) > 6 {
		return "", 0, false
	}
	n, err := strconv.Atoi(index)
	if err != nil || n < 0 || n >= MaxTasks || strconv.Itoa(n) != index {
		return "", 0, false
	}
	return jobID, n, true
}

// TaskRangeKey is the key of the slice of a job's tasks that begins with task from.
func TaskRangeKey(jobID string, firstTask int) string { return TaskPrefix + TaskID(jobID, firstTask) }
