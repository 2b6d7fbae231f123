package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/quota"
)

// newTestSimulator returns an empty simulation without logs.
func newTestSimulator() *Simulator { return NewSimulator(1, slog.New(slog.DiscardHandler)) }

// onlyViolation reports whether there is exactly one violation and it contains text, or none if
// text is empty.
func onlyViolation(sim *Simulator, text string) bool {
	if text == "" {
		return len(sim.Violations) == 0
	}
	return len(sim.Violations) == 1 && strings.Contains(sim.Violations[0], text)
}

// newAcceptedJob adds a job that was submitted and accepted.
func newAcceptedJob(sim *Simulator, jobID, shape string, taskCount int, change func(map[string]any)) *Job {
	body := validSubmission(jobID, func(m map[string]any) {
		m["shape"], m["pieces"] = shape, taskCount
		change(m)
	})
	spec, err := jobs.ParseSpec(body)
	if err != nil {
		panic(err)
	}
	j := &Job{
		ID:           jobID,
		Kind:         shape,
		Team:         spec.Team,
		TaskCount:    taskCount,
		Accelerators: spec.Accelerators,
		RunS:         100,
		PullS:        5,
		Zone:         spec.Zone,
		MachineTypes: spec.MachineTypes,
		SameZone:     spec.SameZone,
		SpreadZones:  spec.SpreadZones,
		Spot:         spec.Spot,
		Body:         body,
		Accepted:     true,
		Done:         map[int]bool{},
		AnsweredAt:   sim.Now,
		SubmittedAt:  sim.Now,
	}
	sim.Jobs[jobID] = j
	return j
}

// unchanged leaves the submission as it is.
func unchanged(map[string]any) {}

// A start after the user was told of the cancellation is counted. It is a violation if the launch
// was sent after that, or if the machine has since got an answer that should have stopped the task.
func TestStartAfterCancellationIsCountedOrReported(t *testing.T) {
	const (
		launch = `{"verb":"launch","piece":"wk-000001/0","try":1}`
		stop   = `{"verb":"stop","piece":"wk-000001/0","try":1,"wind_down_s":0}`
	)
	commands := func(orders string) []byte { return []byte(`{"baton":1,"tenure":1,"orders":[` + orders + `]}`) }
	for name, c := range map[string]struct {
		sent, answered time.Duration // after the user was told; 0: not answered
		orders         string
		counted        int
		violation      string
	}{
		"in flight":                {sent: -time.Millisecond, counted: 1},
		"sent as the user is told": {sent: 0, counted: 1},
		"sent later": {
			sent:      time.Millisecond,
			counted:   1,
			violation: "started_cancelled: wk-000001/0 on i-1, by a launch that left 1ms after",
		},
		"answered at once, no stop": {sent: -time.Second, answered: stopsWithin, counted: 1},
		"answered, no stop": {
			sent:      -time.Second,
			answered:  stopsWithin + time.Millisecond,
			counted:   1,
			violation: "started_cancelled: wk-000001/0 on i-1, which was answered 2.001s after",
		},
		"stopped": {sent: -time.Second, answered: 3 * time.Second, orders: stop},
	} {
		sim := newTestSimulator()
		sim.RunUntil(10 * time.Second)
		j := newAcceptedJob(sim, "wk-000001", jobs.JobArray, 1, unchanged)
		j.CancelRequested = true
		ag := placeTask(sim, "i-1", j, 0, "")
		clear(ag.tasks)
		ag.agentEpoch, ag.reaped = 1, map[string]bool{}
		toldAt := sim.Now
		sim.checkStatus(j, []byte(`{"status":"cancelled"}`))
		if status, _ := ag.serve("/commands", commands(launch), toldAt.Add(c.sent)); status != 200 {
			t.Fatal(status)
		}
		if c.answered > 0 {
			var orders []command
			if c.orders != "" {
				orders = []command{{Verb: "stop", TaskID: "wk-000001/0", Attempt: 1}}
			}
			ag.execute(orders, toldAt.Add(c.answered))
			ag.markUnstopped(toldAt.Add(c.answered))
		}
		sim.RunUntil(16 * time.Second)
		if sim.StartsAfterCancel != c.counted || !onlyViolation(sim, c.violation) {
			t.Errorf("%s: %d counted, %q", name, sim.StartsAfterCancel, sim.Violations)
		}
	}
}

// A cancelled task that goes on when its hung machine resumes after cancel_s is reported once, at
// the resume or at the next tick. One that had ended by then is not reported.
func TestCancelledTaskThatResumesLateIsReportedOnce(t *testing.T) {
	const violation = "ran_cancelled: wk-000001/0 on i-1"
	for name, c := range map[string]struct {
		after     time.Duration
		ended     bool
		resume    func(*Agent)
		violation string
	}{
		"resumes past cancel_s": {61 * time.Second, false, (*Agent).Resume, violation},
		"seen later": {61 * time.Second, false, func(ag *Agent) {
			ag.Hung, ag.inFlight = false, true
			ag.tick()
		}, violation},
		"twice":   {61 * time.Second, false, func(ag *Agent) { ag.Resume(); ag.Resume() }, violation},
		"in time": {59 * time.Second, false, (*Agent).Resume, ""},
		"ended":   {61 * time.Second, true, (*Agent).Resume, ""},
	} {
		sim := newTestSimulator()
		j := newAcceptedJob(sim, "wk-000001", jobs.JobArray, 1, unchanged)
		ag := placeTask(sim, "i-1", j, 0, statusRunning)
		ag.Hung, ag.answeredAt = true, sim.Now.Add(time.Hour)
		j.Cancelled, j.CancelledAt = true, sim.Now // set directly, so that no check is scheduled for cancel_s
		if c.ended {
			ag.end(ag.tasks["wk-000001/0#1"], "stopped", false)
		}
		sim.RunUntil(c.after)
		if c.resume(ag); !onlyViolation(sim, c.violation) {
			t.Errorf("%s: %q", name, sim.Violations)
		}
	}
}

// strandedEnv is a simulation with the job under test.
type strandedEnv struct {
	sim *Simulator
	j   *Job
}

// addMachine adds a machine without tasks.
func (s strandedEnv) addMachine(id, zone string, spot bool) {
	s.sim.Agents[id] = &Agent{
		sim:     s.sim,
		machine: &cloudMachine{ID: id, MachineType: "g4", Zone: zone, Spot: spot},
		tasks:   map[string]*agentTask{},
	}
}

// addMachineWithTask adds a machine in zone a that holds a task of another job.
func (s strandedEnv) addMachineWithTask(id string, change func(map[string]any)) {
	other := newAcceptedJob(s.sim, "wk-000099", jobs.JobArray, 1, change)
	other.CancelRequested, other.spec = false, nil
	s.addMachine(id, "a", false)
	s.sim.Agents[id].tasks["o"] = &agentTask{taskID: "wk-000099/0", attempt: 1, job: other, status: statusPulling}
}

// placeJobTask places the first task of the job under test on a machine.
func (s strandedEnv) placeJobTask(id string, status taskStatus) {
	s.sim.Agents[id].tasks["x"] = &agentTask{taskID: "wk-000001/0", attempt: 1, job: s.j, status: status}
}

// addOneMachine adds a machine in zone a with room for four tasks.
func (s strandedEnv) addOneMachine() { s.addMachine("i-1", "a", false) }

// addTwoMachines adds such a machine in each zone.
func (s strandedEnv) addTwoMachines() {
	s.addOneMachine()
	s.addMachine("i-2", "b", false)
}

// addRoomAndLimit adds a machine with room, another one with a task of the same team, and a limit
// for the team.
func (s strandedEnv) addRoomAndLimit(accelerators float64) {
	s.addOneMachine()
	s.addMachineWithTask("i-2", unchanged)
	s.sim.TeamLimits["team"] = accelerators
}

var strandedCases = map[string]struct {
	shape     string
	taskCount int
	change    func(map[string]any)
	prepare   func(strandedEnv)
	stranded  bool
}{
	"room":             {jobs.JobArray, 1, unchanged, strandedEnv.addOneMachine, true},
	"one task of many": {jobs.JobArray, 99, unchanged, strandedEnv.addOneMachine, true},
	"replica":          {jobs.Service, 99, unchanged, strandedEnv.addOneMachine, true},
	"no machine":       {jobs.JobArray, 1, unchanged, func(strandedEnv) {}, false},
	"no accelerators": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addMachineWithTask("i-1", func(m map[string]any) { m["accelerators"] = 4.0 })
	}, false},
	"no cores": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addMachineWithTask("i-1", func(m map[string]any) { m["cores"] = 31.5 })
	}, false},
	"no memory": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addMachineWithTask("i-1", func(m map[string]any) { m["memory_gb"] = 255.5 })
	}, false},
	"room beside another task": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addMachineWithTask("i-1", func(m map[string]any) {
			m["accelerators"], m["cores"], m["memory_gb"] = 3.0, 31.0, 255.0
		})
	}, true},
	"at the limit":       {jobs.JobArray, 1, unchanged, func(s strandedEnv) { s.addRoomAndLimit(1) }, false},
	"under the limit":    {jobs.JobArray, 1, unchanged, func(s strandedEnv) { s.addRoomAndLimit(2) }, true},
	"gang at the limit":  {jobs.Gang, 3, unchanged, func(s strandedEnv) { s.addRoomAndLimit(3) }, false},
	"gang under a limit": {jobs.Gang, 3, unchanged, func(s strandedEnv) { s.addRoomAndLimit(4) }, true},
	"quota tree at its limit": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		teams := map[string]quota.Team{"team": {Name: "team", Limit: quota.NewAmount(0, 1, 0)}}
		s.sim.account = quota.NewAccount(quota.Flat(teams))
		s.sim.account.Charge(quota.Key{Team: "team", Class: "c"}, quota.NewAmount(1, 1, 1), 1)
	}, false},
	"gang fits":        {jobs.Gang, 8, unchanged, strandedEnv.addTwoMachines, true},
	"gang doesn't fit": {jobs.Gang, 9, unchanged, strandedEnv.addTwoMachines, false},
	"gang in one zone": {jobs.Gang, 4, func(m map[string]any) {
		m["same_place"] = true
	}, strandedEnv.addTwoMachines, true},
	"no zone for the gang": {jobs.Gang, 5, func(m map[string]any) {
		m["same_place"] = true
	}, strandedEnv.addTwoMachines, false},
	"gang spread": {jobs.Gang, 8, func(m map[string]any) {
		m["scatter"] = true
	}, strandedEnv.addTwoMachines, true},
	"gang can't spread": {jobs.Gang, 4, func(m map[string]any) {
		m["scatter"] = true
	}, strandedEnv.addOneMachine, false},
	"required zone": {jobs.JobArray, 1, func(m map[string]any) {
		m["site"] = "a"
	}, strandedEnv.addOneMachine, true},
	"another zone": {jobs.JobArray, 1, func(m map[string]any) {
		m["site"] = "b"
	}, strandedEnv.addOneMachine, false},
	"another type": {jobs.JobArray, 1, func(m map[string]any) {
		m["builds"] = []string{"g8"}
	}, strandedEnv.addOneMachine, false},
	"spot machine, not allowed": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addMachine("i-1", "a", true)
	}, false},
	"spot machine": {jobs.JobArray, 1, func(m map[string]any) {
		m["loaner"] = true
	}, func(s strandedEnv) {
		s.addMachine("i-1", "a", true)
	}, true},
	"zone of the other tasks is full": {jobs.JobArray, 2, func(m map[string]any) {
		m["same_place"], m["accelerators"] = true, 4.0
	}, func(s strandedEnv) {
		s.addTwoMachines()
		s.placeJobTask("i-2", statusRunning)
	}, false},
	"half of the tasks in that zone": {jobs.JobArray, 2, func(m map[string]any) {
		m["scatter"] = true
	}, func(s strandedEnv) {
		s.addOneMachine()
		s.placeJobTask("i-1", statusRunning)
	}, false},
	"fails on every machine": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.j.FailOn = "every"
	}, false},
	"fails on that machine": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.j.FailOn = "i-1"
	}, false},
	"cancelled": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.j.CancelRequested = true
	}, false},
	"done": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.j.Done[0] = true
	}, false},
	"on a machine": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.placeJobTask("i-1", statusPulling)
	}, false},
	"machine about to be reclaimed": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.sim.Agents["i-1"].warningS = new(float64)
	}, false},
	"task started meanwhile": {jobs.JobArray, 9, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.sim.After(50*time.Second, func() { s.j.Starts++ })
	}, false},
	"room for a while": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.sim.After(80*time.Second, func() { delete(s.sim.Agents, "i-1") })
	}, false},
	"machine replaced by another": {jobs.JobArray, 1, unchanged, func(s strandedEnv) {
		s.addOneMachine()
		s.sim.After(50*time.Second, func() {
			delete(s.sim.Agents, "i-1")
			s.addMachine("i-2", "a", false)
		})
	}, true},
}

// Once faults are over, a job is stranded if and only if it waits for 90 s while a suitable machine
// has room and its team is below its limit.
func TestStrandedJobIsReportedAfterNinetySeconds(t *testing.T) {
	for name, c := range strandedCases {
		sim := newTestSimulator()
		j := newAcceptedJob(sim, "wk-000001", c.shape, c.taskCount, c.change)
		c.prepare(strandedEnv{sim, j})
		var answered func()
		answered = func() { // keeps the jobs from counting as forgotten
			for _, j := range sim.Jobs {
				j.AnsweredAt = sim.Now
			}
			sim.After(time.Second, answered)
		}
		answered()
		sim.CheckRecovery()
		want := ""
		if c.stranded {
			want = fmt.Sprintf("stranded: wk-000001 of team, a %s of %d, has waited for 1m30s", c.shape, c.taskCount)
		}
		if !onlyViolation(sim, want) {
			t.Errorf("%s: %q", name, sim.Violations)
		}
	}
}

// A job counts as forgotten if for 75 s its user got no answer to a cancellation, or none about the
// job.
func TestJobWithUnansweredCancellationIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		requested, lastAnswer time.Duration // time before the check; requested 0: the cancellation was answered
		forgotten             bool
	}{
		"cancellation answered, status answered recently":    {0, 20 * time.Second, false},
		"cancellation answered, status not answered":         {0, 75 * time.Second, true},
		"cancellation unanswered for less than 75 s":         {74 * time.Second, 0, false},
		"cancellation unanswered, status answered recently":  {75 * time.Second, 0, true},
		"cancellation and status unanswered":                 {75 * time.Second, 75 * time.Second, true},
		"cancellation requested recently, status unanswered": {time.Second, 75 * time.Second, true},
	} {
		sim := newTestSimulator()
		sim.RunUntil(time.Hour)
		j := newAcceptedJob(sim, "wk-000001", jobs.JobArray, 1, unchanged)
		if j.CancelRequested, j.AnsweredAt = true, sim.Now.Add(-c.lastAnswer); c.requested > 0 {
			j.CancelOpenSince = sim.Now.Add(-c.requested)
		}
		want := ""
		if c.forgotten {
			want = "forgotten: no question about wk-000001"
		}
		if sim.checkForgotten(); !onlyViolation(sim, want) {
			t.Errorf("%s: %q", name, sim.Violations)
		}
	}
}

// A submission that can never run or lacks a field must not be accepted, and a valid one must not
// be rejected for good.
func TestInvalidSubmissionIsNeverAccepted(t *testing.T) {
	check := func(name string, body []byte, want int) {
		for _, status := range []int{200, 201, 400, 422, 503} {
			sim := newTestSimulator()
			sim.TeamLimits["team"], sim.TeamLimits["small"] = 100, 3
			violation := ""
			switch {
			case status < 300 && want != 201:
				violation = "accepted: wk-1"
			case status >= 400 && status < 500 && want == 201:
				violation = "turned away: wk-1"
			}
			if sim.checkAdmission("wk-1", body, status); !onlyViolation(sim, violation) {
				t.Errorf("%s answered %d: %q", name, status, sim.Violations)
			}
		}
	}
	for name, c := range map[string]struct {
		want   int
		change func(map[string]any)
	}{
		"whole": {201, unchanged},
		"optional fields missing": {201, func(m map[string]any) {
			delete(m, "builds")
			delete(m, "site")
			delete(m, "due_s")
		}},
		"largest": {201, func(m map[string]any) {
			m["cores"], m["accelerators"], m["memory_gb"] = 64.0, 8.0, 512.0
		}},
		"at the limit": {201, func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", jobs.Gang, 3
		}},
		"array over the limit": {201, func(m map[string]any) { m["owner"], m["pieces"] = "small", 9 }},
		"gang over the limit": {422, func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", jobs.Gang, 4
		}},
		"service over the limit": {422, func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", jobs.Service, 4
		}},
		"fractional task count": {400, func(m map[string]any) { m["pieces"] = 1.5 }},
		"negative":              {400, func(m map[string]any) { m["cores"] = -1.0 }},
	} {
		check(name, validSubmission("wk-1", c.change), c.want)
	}
	for k := range 8 {
		check(fmt.Sprintf("infeasible %d", k), infeasibleSubmission(k).body, 422)
	}
	for k := range 2 * (len(textFields) + len(amountFields) + len(boolFields)) {
		check(fmt.Sprintf("incomplete %d", k), incompleteSubmission(k).body, 400)
	}
	check("not an object", []byte("[]"), 400)
}
