package scenario

import (
	"log/slog"
	"testing"

	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/simulation"
)

// drawnWorld describes a simulation of 40 machines and two teams over a drawn network.
type drawnWorld struct {
	seed        uint64
	timing      *simulation.Simulator // durations of the protocol, nil for the usual ones
	controllers int
	teams       []settings.Team
	batching    settings.TaskBatching
}

// start starts the controllers and machines of the world.
func (w drawnWorld) start(t *testing.T) *script {
	t.Helper()
	sim := simulation.NewSimulator(w.seed, slog.New(slog.DiscardHandler))
	sim.WatchTasks()
	if w.timing != nil {
		sim.LeaseS, sim.CancelS, sim.HeartbeatS = w.timing.LeaseS, w.timing.CancelS, w.timing.HeartbeatS
	}
	s := &script{t: t, sim: sim, set: baseSettings(sim)}
	s.set.Cluster.Size = w.controllers
	s.set.Cluster.Teams = w.teams
	for _, team := range w.teams {
		sim.TeamLimits[team.Name] = team.GpusMax
	}
	s.set.Operator.TaskBatching = w.batching
	s.set.Cluster.State.WriteRPS = 80
	sim.Store.RPS, sim.Store.WPS = 250, 80
	for i := range 40 {
		s.machines = append(s.machines, sim.Cloud.AddRunning("g4", []string{"a", "b"}[i%2], false))
	}
	sim.DrawNetwork()
	sim.AddNodes(w.controllers, s.set)
	return s
}
