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

// Events at which a scenario may end a leader.
const (
	RentDone     = "rent"    // the cloud has executed a rent request, its answer is in flight
	RentAnswered = "rented"  // the leader has processed the answer to a rent request
	Released     = "release" // tasks are assigned to controllers, which don't know of them yet
	MachineUp    = "up"      // a rented machine has booted
	Launched     = "launch"  // a machine has accepted the launch of a task
)

// leaderEvents holds the handlers of events, and the zones that are cut off.
type leaderEvents struct {
	handlers map[string]func() // by event name
	cutZones map[string]string // controller by zone that is cut off
}

// OnEvent sets f as the handler of an event, called each time it occurs.
func (sim *Simulator) OnEvent(name string, f func()) {
	if sim.leaderEvents.handlers == nil {
		sim.leaderEvents.handlers = map[string]func(){}
		sim.watchReleases()
	}
	sim.leaderEvents.handlers[name] = f
}

// fireEvent calls the handler of an event, if there is one.
func (sim *Simulator) fireEvent(name string) {
	if f := sim.leaderEvents.handlers[name]; f != nil {
		f()
	}
}

// watchReleases fires Released after each transaction that assigns tasks to controllers.
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

// observeRent wraps the callbacks of a rent request so that RentDone and RentAnswered are fired.
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

// CutZone cuts a zone off: its machines and the given controller reach one another, but neither the
// other controllers nor services outside all zones. HealZone ends the cut.
func (sim *Simulator) CutZone(zone, controller string) {
	if sim.leaderEvents.cutZones == nil {
		sim.leaderEvents.cutZones = map[string]string{}
	}
	sim.leaderEvents.cutZones[zone] = controller
}

// HealZone ends the cut of a zone.
func (sim *Simulator) HealZone(zone string) { delete(sim.leaderEvents.cutZones, zone) }

// separatedByZone reports whether a cut of a zone lies between two parties. Users are on both sides
// of every cut.
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

// Epoch returns the epoch of the view in the state service, 0 if there is none.
func (sim *Simulator) Epoch() uint64 {
	v, ok := members.Decode(sim.Store.Value(members.ViewKey))
	if !ok {
		return 0
	}
	return v.Epoch
}

// WrongTokens returns the machines that have received a fencing token of an epoch above the current
// one, or one whose counter is above maxCounter.
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

// Unrecorded returns the machines that have been up for at least duration and have no record.
func (sim *Simulator) Unrecorded(duration time.Duration) (out []string) {
	for _, id := range slices.Sorted(maps.Keys(sim.Agents)) {
		if sim.Now.Sub(sim.Agents[id].machine.upAt) >= duration && sim.Store.Value("host/"+id) == nil {
			out = append(out, id)
		}
	}
	return out
}

// Tally holds counters of a simulation, for limits on the load that controllers cause.
type Tally struct{ Changes, Requests, Refused, Rents, Deletes, Commands, Views, Starts int }

// Tally returns the current counters.
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
