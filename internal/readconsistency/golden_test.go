package readconsistency

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

func TestGoldenAcks(t *testing.T) {
	full := Acks{
		Accepted: []string{"wk-1", "wk-2"},
		Ended: map[string]jobs.StoredState{
			"wk-3": {State: jobs.Done, DoneCount: 9},
			"wk-4": {State: jobs.Cancelled, DoneCount: 1},
		},
	}
	confirmed := full // full is as far as the version before Line writes it
	confirmed.Line = 77
	goldentest.RequireNonZeroFields(t, confirmed)
	goldentest.JSON(t, "line.json", full)
	goldentest.JSON(t, "line-confirmed.json", confirmed)
	goldentest.JSON(t, "confirmation.json", Confirmation{Line: 77})
	goldentest.JSON(t, "line-least.json", Acks{})
	goldentest.JSON(t, "line-nobody.json", Acks{Ended: map[string]jobs.StoredState{}})
}
