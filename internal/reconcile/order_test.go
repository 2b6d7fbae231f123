package reconcile

import (
	"slices"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

func TestOrderIsCancelledThenEndsServicesGangsAndOthers(t *testing.T) {
	spec := func(kind string, taskCount int) *jobs.Spec { return &jobs.Spec{Kind: kind, TaskCount: taskCount} }
	got := []Order{
		OrderOf(spec(jobs.JobArray, 1), true, true),
		OrderOf(spec(jobs.Service, 1), false, false),
		OrderOf(spec(jobs.Service, 3), false, true),
		OrderOf(spec(jobs.Gang, 2), false, true),
		OrderOf(spec(jobs.JobArray, 9), false, true),
	}
	if !slices.Equal(got, []Order{Cancelled, Ends, Services, Gangs, Others}) {
		t.Error(got)
	}
}
