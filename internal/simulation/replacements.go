package simulation

import "github.com/harrierreel/harrierreel/internal/quota"

// maxReplacements is how often a task may be stopped and launched again on the same machine while the
// facts that decisions are made from stay as they are: decisions must not undo each other.
const maxReplacements = 2

// replacementWatch counts tasks that are stopped by a command and launched again where they were.
type replacementWatch struct {
	stoppedOn map[string]string // by task ID, the machine on which it was last stopped
	counts    map[placeOfTask]int
}

// placeOfTask is a task on a machine.
type placeOfTask struct {
	taskID, machine string
}

func newReplacementWatch() replacementWatch {
	return replacementWatch{stoppedOn: map[string]string{}, counts: map[placeOfTask]int{}}
}

// factsChanged starts the counts anew: a machine came, failed or went, a job was submitted or
// cancelled, or a limit changed.
func (w *replacementWatch) factsChanged() { clear(w.counts) }

// storeChanged is called for every write to the state service.
func (w *replacementWatch) storeChanged(key string) {
	if key == quota.StoreKey {
		w.factsChanged()
	}
}

// taskStopped is called when a machine executes the command to stop a task.
func (w *replacementWatch) taskStopped(taskID, machine string) { w.stoppedOn[taskID] = machine }

// taskLaunched is called when a machine executes the command to launch a task.
func (sim *Simulator) taskLaunched(taskID, machine string) {
	w := &sim.replacements
	if w.stoppedOn[taskID] != machine {
		return
	}
	delete(w.stoppedOn, taskID)
	place := placeOfTask{taskID, machine}
	w.counts[place]++
	if count := w.counts[place]; count > maxReplacements {
		sim.ReportViolation("undone: %s is launched on %s, where it was stopped, %d times", taskID, machine, count)
	}
}
