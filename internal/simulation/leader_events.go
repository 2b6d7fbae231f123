package simulation

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/members"
	"github.com/harrierreel/harrierreel/internal/taskbatch"
)

// Moments at which a scenario may have a leader end.
const (
	RentDone     = "rent"    // the cloud has carried a rent out, its answer is on its way
	RentAnswered = "rented"  // the leader has taken the answer
	Released     = "release" // tasks that it released are committed, no owner knows of them
	MachineUp    = "up"      // a rented machine is up
	Launched     = "launch"  // a task is launched on its machine
)

// leaderEvents is for scenarios about a leader that ends at some moment, and cut zones.
type leaderEvents struct {
	handlers map[string]func() // called at each of these moments
	cutZones map[string]string // zones that are cut off, and the controller in each
}

// OnEvent has f called at every moment of that name from now on.
func (sim *Simulator) OnEvent(moment string, f func()) {
	if sim.leaderEvents.handlers == nil {
		sim.leaderEvents.handlers = map[string]func(){}
		sim.watchReleases()
	}
	sim.leaderEvents.handlers[moment] = f
}

func (sim *Simulator) fireEvent(name string) {
	if f := sim.leaderEvents.handlers[name]; f != nil {
		f()
	}
}

// watchReleases notes each transaction that releases or places tasks.
func (sim *Simulator) watchReleases() {
	released := false
	sim.observe(func(key string, v json.RawMessage) {
		if strings.HasPrefix(key, jobs.TaskPrefix) || strings.HasPrefix(key, taskbatch.KeyPrefix) {
			for _, e := range recordTasks(key, v) {
				released = released || e.Task.State == jobs.Assigned
			}
		}
	}, func() {
		if released {
			released = false
			sim.fireEvent(Released)
		}
	})
}

// rentMoments tells when a rent is carried out and when its answer is taken.
func (sim *Simulator) observeRent(
	serve func(func(int, []byte)),
	done func(int, []byte, error),
) (func(func(int, []byte)), func(int, []byte, error)) {
	return func(answer func(int, []byte)) {
			serve(func(status int, b []byte) {
				if status == 200 {
					sim.fireEvent(RentDone)
				}
				answer(status, b)
			})
		}, func(status int, b []byte, err error) {
			done(status, b, err)
			if err == nil && status == 200 {
				sim.fireEvent(RentAnswered)
			}
		}
}

// CutZone cuts a zone off: its machines and the controller in it reach one another, and
// neither the other controllers nor what belongs to no zone. HealZone ends it.
func (sim *Simulator) CutZone(zone, controller string) {
	if sim.leaderEvents.cutZones == nil {
		sim.leaderEvents.cutZones = map[string]string{}
	}
	sim.leaderEvents.cutZones[zone] = controller
}

// HealZone ends the cut of a zone.
func (sim *Simulator) HealZone(zone string) { delete(sim.leaderEvents.cutZones, zone) }

// separatedByZone tells that two parties are on different sides of a zone's cut. Users of the zone
// stand on both.
func (sim *Simulator) separatedByZone(from, to string) bool {
	for zone, controller := range sim.leaderEvents.cutZones {
		inside := func(party string) bool {
			base, _, _ := strings.Cut(party, ":")
			machine := sim.Cloud.machines[base]
			return base == controller || machine != nil && machine.Zone == zone
		}
		if from != "user" && to != "user" && inside(from) != inside(to) {
			return true
		}
	}
	return false
}

// Epoch is that of the view in the state service.
func (sim *Simulator) Epoch() uint64 {
	v, ok := members.Decode(sim.Store.Value(members.ViewKey))
	if !ok {
		return 0
	}
	return v.Epoch
}

// WrongTokens names the machines that have seen a token of no view so far, or one whose
// counter is above maxCounter.
func (sim *Simulator) WrongTokens(maxCounter uint64) (out []string) {
	epoch := sim.Epoch()
	for _, id := range sim.Machines() {
		token := sim.Agents[id].fencingToken
		if token/agent.FencingTokenSpan > epoch || token%agent.FencingTokenSpan > maxCounter {
			out = append(out, id)
		}
	}
	return out
}

// Unrecorded names the machines that have been up for so long and have no record.
func (sim *Simulator) Unrecorded(duration time.Duration) (out []string) {
	for _, id := range slices.Sorted(maps.Keys(sim.Agents)) {
		if sim.Now.Sub(sim.Agents[id].machine.upAt) >= duration && sim.Store.Value("host/"+id) == nil {
			out = append(out, id)
		}
	}
	return out
}

// Tally is what has happened in a simulation so far, for bounds on storms.
type Tally struct{ Changes, Requests, Refused, Rents, Deletes, Commands, Views, Starts int }

// Tally counts it.
func (sim *Simulator) Tally() Tally {
	return Tally{
		Changes:  sim.Store.Writes,
		Requests: sim.Store.Requests,
		Refused:  sim.Store.Refused,
		Rents:    sim.Cloud.Rented,
		Deletes:  sim.Cloud.deleted,
		Commands: sim.commandCount,
		Views:    int(sim.Epoch()),
		Starts:   sim.TaskStarts(),
	}
}
