package settings

import "testing"

// In each of these deployments every controller has some of each budget left for decisions, at the
// latest when calls wait for it.
func TestBaseLoadLeavesBudget(t *testing.T) {
	for name, deployment := range map[string]struct {
		controllers   int
		requests      float64 // to the state service, a second
		writes        float64 // to the state service, a second
		cloudCalls    float64 // a second
		cloudListSize int     // in pages
	}{
		"250 requests, three controllers": {3, 250, 100, 4, 1},
		"200 requests, three controllers": {3, 200, 60, 3, 1},
		"250 requests, five controllers":  {5, 250, 100, 4, 4},
		"200 requests, 900 machines":      {3, 200, 60, 3, 2},
		"180 requests, 735 machines":      {3, 180, 50, 3, 2},
		"80 requests, 515 machines":       {3, 80, 30, 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := Cluster{
				Size:  deployment.controllers,
				State: State{RPS: deployment.requests, WriteRPS: deployment.writes},
				Cloud: Cloud{RPS: deployment.cloudCalls},
			}
			load := cluster.BaseLoad(deployment.cloudListSize)
			t.Logf("%+v", load)
			if load.Requests > 0.8 || load.Throttled > 0.75 || load.CloudCalls > 0.4 || load.Writes > 0.01 {
				t.Errorf("base load too high: %+v", load)
			}
		})
	}
}
