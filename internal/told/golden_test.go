package told

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

func TestGoldenLine(t *testing.T) {
	full := Line{Accepted: []string{"wk-1", "wk-2"}, Ended: map[string]jobs.Final{"wk-3": {State: jobs.Done, Done: 9}, "wk-4": {State: jobs.Cancelled, Done: 1}}}
	goldentest.Filled(t, full)
	goldentest.JSON(t, "line.json", full)
	goldentest.JSON(t, "line-least.json", Line{})
	goldentest.JSON(t, "line-nobody.json", Line{Ended: map[string]jobs.Final{}})
}
