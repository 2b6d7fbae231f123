package readconsistency

import (
	"fmt"
	"testing"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

func TestOnlyAcksThatAControllerCouldSendAreValid(t *testing.T) {
	long := Acks{}
	for i := range tuning.MaxAcksPerLine + 1 {
		long.Accepted = append(long.Accepted, fmt.Sprintf("wk-%06d", i))
	}
	ended := func(jobID string, final jobs.StoredState) *Acks {
		return &Acks{Ended: map[string]jobs.StoredState{jobID: final}}
	}
	for name, c := range map[string]struct {
		acks *Acks
		want bool
	}{
		"none":                            {nil, true},
		"empty":                           {&Acks{}, true},
		"too many for a message":          {&long, false},
		"accepted job with an invalid ID": {&Acks{Accepted: []string{"x/../y"}}, false},
		"ended job that is live":          {ended("wk-000001", jobs.StoredState{State: jobs.Live}), false},
		"negative count of done tasks":    {ended("wk-000001", jobs.StoredState{State: jobs.Done, DoneCount: -1}), false},
		"ended job without an ID":         {ended("", jobs.StoredState{State: jobs.Done}), false},
		"ended job":                       {ended("wk-000001", jobs.StoredState{State: jobs.Cancelled, DoneCount: 2}), true},
	} {
		t.Run(name, func(t *testing.T) {
			if c.acks.Valid() != c.want {
				t.Errorf("valid is %v for %+v", !c.want, c.acks)
			}
		})
	}
}
