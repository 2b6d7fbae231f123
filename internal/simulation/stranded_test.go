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

func quietWorld() *Simulator { return NewSimulator(1, slog.New(slog.DiscardHandler)) }

// broke tells whether just one rule was broken, and which.
func broke(w *Simulator, what string) bool {
	if what == "" {
		return len(w.Broken) == 0
	}
	return len(w.Broken) == 1 && strings.Contains(w.Broken[0], what)
}

// submitted is a job as a user hands it in.
func submitted(w *Simulator, jobID, shape string, taskCount int, change func(map[string]any)) *Job {
	body := wholeSubmission(jobID, func(m map[string]any) {
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
		AnsweredAt:   w.Now,
		SubmittedAt:  w.Now,
	}
	w.Jobs[jobID] = j
	return j
}

func whole(map[string]any) {}

// A start after a user was told of the cancellation is counted. It breaks the rule if its
// launch left after that, or if the machine had an answer since that should have stopped it.
func TestStartAfterCancellationIsCountedOrBreaks(t *testing.T) {
	const (
		launch = `{"verb":"launch","piece":"wk-000001/0","try":1}`
		stop   = `{"verb":"stop","piece":"wk-000001/0","try":1,"wind_down_s":0}`
	)
	commands := func(orders string) []byte { return []byte(`{"baton":1,"tenure":1,"orders":[` + orders + `]}`) }
	for name, c := range map[string]struct {
		sent, answered time.Duration // after the user was told; 0: not answered
		orders         string
		counted        int
		breaks         string
	}{
		"in flight":                {sent: -time.Millisecond, counted: 1},
		"sent as the user is told": {sent: 0, counted: 1},
		"sent later": {
			sent:    time.Millisecond,
			counted: 1,
			breaks:  "started_cancelled: wk-000001/0 on i-1, by a launch that left 1ms after",
		},
		"answered at once, no stop": {sent: -time.Second, answered: stopsWithin, counted: 1},
		"answered, no stop": {
			sent:     -time.Second,
			answered: stopsWithin + time.Millisecond,
			counted:  1,
			breaks:   "started_cancelled: wk-000001/0 on i-1, which was answered 2.001s after",
		},
		"stopped": {sent: -time.Second, answered: 3 * time.Second, orders: stop},
	} {
		w := quietWorld()
		w.RunUntil(10 * time.Second)
		j := submitted(w, "wk-000001", jobs.JobArray, 1, whole)
		j.CancelRequested = true
		wk := place(w, "i-1", j, 0, "")
		clear(wk.tasks)
		wk.agentEpoch, wk.reaped = 1, map[string]bool{}
		told := w.Now
		w.checkStatus(j, []byte(`{"status":"cancelled"}`))
		if status, _ := wk.serve("/commands", commands(launch), told.Add(c.sent)); status != 200 {
			t.Fatal(status)
		}
		if c.answered > 0 {
			var orders []command
			if c.orders != "" {
				orders = []command{{Verb: "stop", TaskID: "wk-000001/0", Attempt: 1}}
			}
			wk.execute(orders, told.Add(c.answered))
			wk.noteUnstopped(told.Add(c.answered))
		}
		w.RunUntil(16 * time.Second)
		if w.StartsAfterCancel != c.counted || !broke(w, c.breaks) {
			t.Errorf("%s: %d counted, %q", name, w.StartsAfterCancel, w.Broken)
		}
	}
}

// A cancelled task that goes on when its machine resumes past cancel_s breaks the rule, at
// the resume and at any later look, once; one that had ended by then doesn't.
func TestCancelledTaskThatResumesLateBreaksOnce(t *testing.T) {
	const breaks = "ran_cancelled: wk-000001/0 on i-1"
	for name, c := range map[string]struct {
		after  time.Duration
		ended  bool
		resume func(*Agent)
		breaks string
	}{
		"resumes past cancel_s": {61 * time.Second, false, (*Agent).Resume, breaks},
		"seen later": {61 * time.Second, false, func(wk *Agent) {
			wk.Hung, wk.inFlight = false, true
			wk.tick()
		}, breaks},
		"twice":   {61 * time.Second, false, func(wk *Agent) { wk.Resume(); wk.Resume() }, breaks},
		"in time": {59 * time.Second, false, (*Agent).Resume, ""},
		"ended":   {61 * time.Second, true, (*Agent).Resume, ""},
	} {
		w := quietWorld()
		j := submitted(w, "wk-000001", jobs.JobArray, 1, whole)
		wk := place(w, "i-1", j, 0, statusRunning)
		wk.Hung, wk.answeredAt = true, w.Now.Add(time.Hour)
		j.Cancelled, j.CancelledAt = true, w.Now // by no timer of its own
		if c.ended {
			wk.end(wk.tasks["wk-000001/0#1"], "stopped", false)
		}
		w.RunUntil(c.after)
		if c.resume(wk); !broke(w, c.breaks) {
			t.Errorf("%s: %q", name, w.Broken)
		}
	}
}

// strandedSetting is a world with the one job that is looked at.
type strandedSetting struct {
	w *Simulator
	j *Job
}

// machine puts up a machine without tasks.
func (s strandedSetting) machine(id, zone string, spot bool) {
	s.w.Agents[id] = &Agent{
		sim:     s.w,
		machine: &cloudMachine{ID: id, MachineType: "g4", Zone: zone, Spot: spot},
		tasks:   map[string]*agentTask{},
	}
}

// hold puts up a machine in zone a that holds a task of another job.
func (s strandedSetting) hold(id string, change func(map[string]any)) {
	other := submitted(s.w, "wk-000099", jobs.JobArray, 1, change)
	other.CancelRequested, other.spec = false, nil
	s.machine(id, "a", false)
	s.w.Agents[id].tasks["o"] = &agentTask{taskID: "wk-000099/0", attempt: 1, job: other, status: statusPulling}
}

// own has a machine hold the job's first task.
func (s strandedSetting) own(id string, status taskStatus) {
	s.w.Agents[id].tasks["x"] = &agentTask{taskID: "wk-000001/0", attempt: 1, job: s.j, status: status}
}

// room puts up a machine with room for four tasks.
func (s strandedSetting) room() { s.machine("i-1", "a", false) }

// two puts up such a machine in each zone.
func (s strandedSetting) two() {
	s.room()
	s.machine("i-2", "b", false)
}

// limited has a machine with room, a task of the team elsewhere, and a limit for the team.
func (s strandedSetting) limited(accelerators float64) {
	s.room()
	s.hold("i-2", whole)
	s.w.TeamLimits["team"] = accelerators
}

var strandedCases = map[string]struct {
	shape     string
	taskCount int
	change    func(map[string]any)
	prepare   func(strandedSetting)
	stranded  bool
}{
	"room":             {jobs.JobArray, 1, whole, strandedSetting.room, true},
	"one task of many": {jobs.JobArray, 99, whole, strandedSetting.room, true},
	"replica":          {jobs.Service, 99, whole, strandedSetting.room, true},
	"no machine":       {jobs.JobArray, 1, whole, func(strandedSetting) {}, false},
	"no accelerators": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.hold("i-1", func(m map[string]any) { m["accelerators"] = 4.0 })
	}, false},
	"no cores": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.hold("i-1", func(m map[string]any) { m["cores"] = 31.5 })
	}, false},
	"no memory": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.hold("i-1", func(m map[string]any) { m["memory_gb"] = 255.5 })
	}, false},
	"room beside another": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.hold("i-1", func(m map[string]any) {
			m["accelerators"], m["cores"], m["memory_gb"] = 3.0, 31.0, 255.0
		})
	}, true},
	"at the limit":       {jobs.JobArray, 1, whole, func(s strandedSetting) { s.limited(1) }, false},
	"under the limit":    {jobs.JobArray, 1, whole, func(s strandedSetting) { s.limited(2) }, true},
	"gang at the limit":  {jobs.Gang, 3, whole, func(s strandedSetting) { s.limited(3) }, false},
	"gang under a limit": {jobs.Gang, 3, whole, func(s strandedSetting) { s.limited(4) }, true},
	"tree at its limit": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		teams := map[string]quota.Team{"team": {Name: "team", Max: quota.Of(0, 1, 0)}}
		s.w.account = quota.NewAccount(quota.Flat(teams))
		s.w.account.Charge(quota.Key{Team: "team", Class: "c"}, quota.Of(1, 1, 1), 1)
	}, false},
	"gang fits":            {jobs.Gang, 8, whole, strandedSetting.two, true},
	"gang doesn't":         {jobs.Gang, 9, whole, strandedSetting.two, false},
	"gang in one zone":     {jobs.Gang, 4, func(m map[string]any) { m["same_place"] = true }, strandedSetting.two, true},
	"no zone for the gang": {jobs.Gang, 5, func(m map[string]any) { m["same_place"] = true }, strandedSetting.two, false},
	"gang spread":          {jobs.Gang, 8, func(m map[string]any) { m["scatter"] = true }, strandedSetting.two, true},
	"gang can't spread":    {jobs.Gang, 4, func(m map[string]any) { m["scatter"] = true }, strandedSetting.room, false},
	"its zone":             {jobs.JobArray, 1, func(m map[string]any) { m["site"] = "a" }, strandedSetting.room, true},
	"another zone":         {jobs.JobArray, 1, func(m map[string]any) { m["site"] = "b" }, strandedSetting.room, false},
	"another type": {jobs.JobArray, 1, func(m map[string]any) {
		m["builds"] = []string{"g8"}
	}, strandedSetting.room, false},
	"spot machine, not allowed": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.machine("i-1", "a", true)
	}, false},
	"spot machine": {jobs.JobArray, 1, func(m map[string]any) {
		m["loaner"] = true
	}, func(s strandedSetting) {
		s.machine("i-1", "a", true)
	}, true},
	"the others' zone is full": {jobs.JobArray, 2, func(m map[string]any) {
		m["same_place"], m["accelerators"] = true, 4.0
	}, func(s strandedSetting) {
		s.two()
		s.own("i-2", statusRunning)
	}, false},
	"half are in that zone": {jobs.JobArray, 2, func(m map[string]any) {
		m["scatter"] = true
	}, func(s strandedSetting) {
		s.room()
		s.own("i-1", statusRunning)
	}, false},
	"fails everywhere": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.j.FailOn = "every"
	}, false},
	"fails there": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.j.FailOn = "i-1"
	}, false},
	"cancelled": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.j.CancelRequested = true
	}, false},
	"done": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.j.Done[0] = true
	}, false},
	"on a machine": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.own("i-1", statusPulling)
	}, false},
	"machine to be taken": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.w.Agents["i-1"].warningS = new(float64)
	}, false},
	"a task began": {jobs.JobArray, 9, whole, func(s strandedSetting) {
		s.room()
		s.w.After(50*time.Second, func() { s.j.Starts++ })
	}, false},
	"room for a while": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.w.After(80*time.Second, func() { delete(s.w.Agents, "i-1") })
	}, false},
	"machine went": {jobs.JobArray, 1, whole, func(s strandedSetting) {
		s.room()
		s.w.After(50*time.Second, func() {
			delete(s.w.Agents, "i-1")
			s.machine("i-2", "a", false)
		})
	}, true},
}

// Once troubles are over a job is stranded if it waits for 90 s while a machine that fits has
// room and its team is under its limit, and only then.
func TestStrandedJobBreaksAfterNinetySeconds(t *testing.T) {
	for name, c := range strandedCases {
		w := quietWorld()
		j := submitted(w, "wk-000001", c.shape, c.taskCount, c.change)
		c.prepare(strandedSetting{w, j})
		var answered func()
		answered = func() { // nobody is forgotten here
			for _, j := range w.Jobs {
				j.AnsweredAt = w.Now
			}
			w.After(time.Second, answered)
		}
		answered()
		w.Aftermath()
		want := ""
		if c.stranded {
			want = fmt.Sprintf("stranded: wk-000001 of team, a %s of %d, has waited for 1m30s", c.shape, c.taskCount)
		}
		if !broke(w, want) {
			t.Errorf("%s: %q", name, w.Broken)
		}
	}
}

// Who asked to have a job cancelled waits for an answer too: to that, and about the job.
func TestCancellingUserWithoutAnswerIsForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		requested, heard time.Duration // before the end; requested 0: answered
		forgotten        bool
	}{
		"answered, asked about lately":      {0, 20 * time.Second, false},
		"answered, then never told of":      {0, 75 * time.Second, true},
		"not answered for a while":          {74 * time.Second, 0, false},
		"not answered, only asked about":    {75 * time.Second, 0, true},
		"not answered, no question either":  {75 * time.Second, 75 * time.Second, true},
		"asked lately, no question answers": {time.Second, 75 * time.Second, true},
	} {
		w := quietWorld()
		w.RunUntil(time.Hour)
		j := submitted(w, "wk-000001", jobs.JobArray, 1, whole)
		if j.CancelRequested, j.AnsweredAt = true, w.Now.Add(-c.heard); c.requested > 0 {
			j.CancelOpenSince = w.Now.Add(-c.requested)
		}
		want := ""
		if c.forgotten {
			want = "forgotten: no question about wk-000001"
		}
		if w.checkForgotten(); !broke(w, want) {
			t.Errorf("%s: %q", name, w.Broken)
		}
	}
}

// What can never run or lacks a field is never accepted; what is whole is never turned away.
func TestInvalidSubmissionIsNeverAccepted(t *testing.T) {
	check := func(name string, body []byte, want int) {
		for _, status := range []int{200, 201, 400, 422, 503} {
			w := quietWorld()
			w.TeamLimits["team"], w.TeamLimits["small"] = 100, 3
			breaks := ""
			switch {
			case status < 300 && want != 201:
				breaks = "accepted: wk-1"
			case status >= 400 && status < 500 && want == 201:
				breaks = "turned away: wk-1"
			}
			if w.checkAdmission("wk-1", body, status); !broke(w, breaks) {
				t.Errorf("%s answered %d: %q", name, status, w.Broken)
			}
		}
	}
	for name, c := range map[string]struct {
		want   int
		change func(map[string]any)
	}{
		"whole": {201, whole},
		"null where it is": {201, func(m map[string]any) {
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
		"array over it": {201, func(m map[string]any) { m["owner"], m["pieces"] = "small", 9 }},
		"gang over it": {422, func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", jobs.Gang, 4
		}},
		"service over it": {422, func(m map[string]any) {
			m["owner"], m["shape"], m["pieces"] = "small", jobs.Service, 4
		}},
		"half a task": {400, func(m map[string]any) { m["pieces"] = 1.5 }},
		"negative":    {400, func(m map[string]any) { m["cores"] = -1.0 }},
	} {
		check(name, wholeSubmission("wk-1", c.change), c.want)
	}
	for k := range 8 {
		check(fmt.Sprintf("unfit %d", k), unfitSubmission(k).body, 422)
	}
	for k := range 2 * (len(textFields) + len(amountFields) + len(boolFields)) {
		check(fmt.Sprintf("lacking %d", k), incompleteSubmission(k).body, 400)
	}
	check("no object", []byte("[]"), 400)
}
