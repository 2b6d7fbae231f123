package provisioning

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/fleet"
	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenSummary(t *testing.T) {
	full := Summary{
		Step:     4,
		History:  map[string][]float64{"g2": {1.5, 2}, "g2+": {3}},
		Draining: fleet.Draining{"m-1": 2, "m-2": 1},
		Requests: []launchRequest{
			{
				LaunchRequestID: "r-5-1",
				MachineType:     "g2",
				Zone:            "z-b",
				Spot:            true,
				Count:           3,
				AtMs:            1700000000001,
				Machines:        []string{"m-3", "m-4"},
			},
			{},
		},
	}
	goldentest.RequireNonZeroFields(t, full)
	goldentest.JSON(t, "scaler.json", full)
	goldentest.JSON(t, "scaler-least.json", Summary{})
	goldentest.Bytes(t, "keys.txt", []byte(SummaryKey+"\n"+MachineTypePrefix+"\n"))
}
