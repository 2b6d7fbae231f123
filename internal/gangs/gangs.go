// Package gangs decides for ensembles of more than one task, whose tasks
// start together under one try.
package gangs

import (
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Phase is where a gang stands as a whole.
type Phase string

// Phases of a gang.
const (
	Resting  Phase = "resting"  // no task charged or on a machine: may be placed
	Offered  Phase = "offered"  // released to a part, nothing placed yet
	Whole    Phase = "whole"    // every task on a machine under one try
	Broken   Phase = "broken"   // some tasks on machines, others not: must be stopped
	Complete Phase = "complete" // a task is done, so every task is
)

// PhaseOf derives a gang's phase from its tasks' records. Old attempts still
// on a machine count until they are truly gone.
func PhaseOf(pieces int, tasks []*jobs.Task) Phase {
	on, offered, stopping := 0, 0, false
	var try uint64
	same := true
	for _, t := range tasks {
		switch {
		case t.State == jobs.Finished:
			return Complete
		case t.On():
			if on > 0 && t.Try != try {
				same = false
			}
			try = t.Try
			on++
			stopping = stopping || t.State == jobs.Stopping
		case t.State == jobs.Released:
			offered++
		}
	}
	switch {
	case on == 0 && offered == 0:
		return Resting
	case on == 0:
		return Offered
	case on == pieces && same && !stopping:
		return Whole
	}
	return Broken
}

// NextTry is the try for a gang's next attempt: above every task's.
func NextTry(tasks []*jobs.Task) uint64 {
	var top uint64
	for _, t := range tasks {
		top = max(top, t.Try)
	}
	return top + 1
}
