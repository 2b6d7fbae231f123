package commit

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/decide"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// logStops logs and counts the tasks on machines that committed decisions stop. It must be called
// before the decisions are applied to the mirror.
func (c *Committer) logStops(decisions []decide.Decision) {
	for i := range decisions {
		for _, change := range decisions[i].Changes {
			task, next := change.Task, change.Next
			if next.State != jobs.Stopping || task.State == jobs.Stopping {
				continue
			}
			c.stopCounts[reasonKind(next.Reason)]++
			c.log.Debug("task stopped",
				"task_id", task.ID,
				"machine", task.Machine,
				"attempt", task.Attempt,
				"reason", next.Reason)
		}
	}
}

// reasonKind returns the reason of a stop without the jobs and tasks that it names.
func reasonKind(reason string) string {
	var words []string
	for word := range strings.FieldsSeq(reason) {
		jobID, _, _ := strings.Cut(word, "/")
		if !jobs.ValidID(jobID) {
			words = append(words, word)
		}
	}
	return strings.Join(words, " ")
}

// TakeStopCounts returns the number of tasks stopped by decisions that were committed since its
// last call, by kind of reason.
func (c *Committer) TakeStopCounts() map[string]int {
	counts := c.stopCounts
	c.stopCounts = map[string]int{}
	return counts
}
