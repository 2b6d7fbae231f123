package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// place has a machine hold a job's task in some state.
func placeTask(sim *Simulator, machine string, j *Job, n int, status taskStatus) *Agent {
	task := &agentTask{taskID: fmt.Sprintf("%s/%d", j.ID, n), attempt: 1, status: status, job: j, index: n}
	ag := &Agent{
		sim:     sim,
		machine: &cloudMachine{ID: machine, MachineType: "g4", Zone: "a"},
		tasks:   map[string]*agentTask{attemptKey(task.taskID, 1): task},
	}
	sim.Agents[machine] = ag
	return ag
}

// TestCancelledTaskOnMachineTooLongBreaks: cancel_s after a user was told, by whichever answer, each task that is
// still on a machine breaks the rule, also one that waits, saves, hangs or is cut off, and
// so does one that begins later; none does before.
func TestCancelledTaskOnMachineTooLongBreaks(t *testing.T) {
	atFirst := map[string]taskStatus{"waiting": statusWaiting, "saving": statusSaving, "begins": statusPulling}
	for _, repeated := range []bool{false, true} {
		for _, status := range []string{"waiting", "running", "saving", "hung", "cut", "begins"} {
			sim := NewSimulator(1, slog.New(slog.DiscardHandler))
			sim.CancelS = 41
			j := &Job{
				ID:              "wk-000001",
				Kind:            "sweep",
				TaskCount:       1,
				Accelerators:    1,
				RunS:            100,
				Body:            []byte("{}"),
				Accepted:        true,
				CancelRequested: true,
				Done:            map[int]bool{},
			}
			sim.Jobs[j.ID] = j
			ag := placeTask(sim, "i-1", j, 0, atFirst[status])
			task := ag.tasks["wk-000001/0#1"]
			switch status {
			case "running", "cut":
				task.status = statusRunning
				sim.Cut("*", "i-1", false)
			case "hung":
				task.status, ag.Hung = statusRunning, true
			case "begins":
				sim.After(42*time.Second, func() { ag.begin(task) })
			}
			sim.checkStatus(j, []byte(`{"uid":"wk-000001","status":"cancelled"}`))
			if repeated { // told once more, which changes nothing
				sim.After(30*time.Second, func() { sim.checkStatus(j, []byte(`{"status":"cancelled"}`)) })
			}
			if sim.RunUntil(41 * time.Second); len(sim.Broken) != 0 {
				t.Errorf("%s, told again %v, in time: %q", status, repeated, sim.Broken)
			}
			if sim.RunUntil(
				43 * time.Second,
			); len(sim.Broken) != 1 ||
				!strings.Contains(sim.Broken[0], "ran_cancelled: wk-000001/0 on i-1") {
				t.Errorf("%s, told again %v, too late: %q", status, repeated, sim.Broken)
			}
		}
	}
}

// TestAnswersThatGoBackBreak: an answer that was on its way when the user was told another may
// come last; one that left its controller later may not take back what was told.
func TestAnswersThatGoBackBreak(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	j := &Job{ID: "wk-000001", TaskCount: 2, Accepted: true, Done: map[int]bool{0: true}}
	sim.RunUntil(time.Second)
	sim.answerSentAt = sim.Now
	if sim.checkStatus(
		j,
		[]byte(`{"status":"done"}`),
	); len(sim.Broken) != 1 ||
		!strings.Contains(sim.Broken[0], "not_done: wk-000001 has 1 of 2") {
		t.Errorf("done before the last task: %q", sim.Broken)
	}
	j.Done[1] = true
	sim.Broken = nil
	if sim.checkStatus(j, []byte(`{"status":"running"}`)); len(sim.Broken) != 0 {
		t.Errorf("an answer that crossed: %q", sim.Broken)
	}
	sim.answerSentAt = sim.Now.Add(time.Millisecond)
	if sim.checkStatus(
		j,
		[]byte(`{"status":"running"}`),
	); len(sim.Broken) != 1 ||
		!strings.Contains(sim.Broken[0], "went_back: wk-000001 was done, is running") {
		t.Errorf("a later answer: %q", sim.Broken)
	}
}

// TestStartsAgainstTheRulesBreak: a task that starts while it is on another machine, hung or cut off
// though that be, breaks a rule, and so does one beyond its team's limit.
func TestStartsAgainstTheRulesBreak(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	sim.TeamLimits["t"] = 2
	j := &Job{
		ID:           "wk-000001",
		Kind:         "sweep",
		Team:         "t",
		TaskCount:    3,
		Accelerators: 1,
		RunS:         10,
		Body:         []byte("{}"),
		Done:         map[int]bool{},
	}
	sim.Jobs[j.ID] = j
	placeTask(sim, "i-1", j, 0, statusRunning).Hung = true
	sim.Cut("*", "i-1", false)
	again := placeTask(sim, "i-2", j, 0, statusPulling)
	if again.begin(
		again.tasks["wk-000001/0#1"],
	); len(sim.Broken) != 1 ||
		!strings.Contains(sim.Broken[0], "ran_twice: wk-000001/0 starts on i-2 while on i-1") {
		t.Errorf("twice: %q", sim.Broken)
	}
	sim.Broken = nil
	more := placeTask(sim, "i-3", j, 1, statusPulling)
	if more.begin(
		more.tasks["wk-000001/1#1"],
	); len(sim.Broken) != 1 ||
		!strings.Contains(sim.Broken[0], "quota: t uses 3 of 2") {
		t.Errorf("quota: %q", sim.Broken)
	}
}

// TestLateWritesAreCarriedOutLater: a transaction that meets the trouble gets no answer and is carried out
// after newer ones, on its own conditions, 2 to 12 s later, though its sender is refused
// by then; once the trouble is over none does.
func TestLateWritesAreCarriedOutLater(t *testing.T) {
	for seed := range uint64(20) {
		sim := NewSimulator(seed, slog.New(slog.DiscardHandler))
		call := sim.Store.Call("n0")
		answers := map[string]int{}
		put := func(key string, revision int) {
			body := fmt.Sprintf(`{"if":[{"key":%q,"stamp":%d}],"writes":[{"write":%q,"v":1}]}`, key, revision, key)
			call("POST", "/multi", []byte(body), 4*time.Second, func(status int, _ []byte, err error) {
				if err != nil {
					status = -1
				}
				answers[key] = status
			})
		}
		sim.RunUntil(time.Second)
		sim.LateWrites(1, time.Second)
		put("late", 0)
		put("met", 0)
		sim.RunUntil(2*time.Second + time.Millisecond)
		put("new", 0)
		put("met", 0)
		sim.RunUntil(2900 * time.Millisecond)
		sim.Store.Refuse["n0"] = true
		if sim.Store.Value("late") != nil || sim.Store.Value("new") == nil || sim.Store.Value("met") == nil ||
			answers["new"] != 200 {
			t.Errorf("seed %d: late %s, new %s, answers %v", seed, sim.Store.Value("late"), sim.Store.Value("new"), answers)
		}
		revision := sim.Store.items["met"].Revision
		sim.RunUntil(14 * time.Second)
		if sim.Store.Value("late") == nil || answers["late"] != -1 || sim.LateWritesDone != 2 {
			t.Errorf(
				"seed %d: late %s, answers %v, %d carried out late",
				seed, sim.Store.Value("late"), answers, sim.LateWritesDone,
			)
		}
		if sim.Store.items["met"].Revision != revision {
			t.Errorf("seed %d: a late transaction went against its condition", seed)
		}
	}
}

// TestLostAnswersAreCarriedOutAtOnce: a transaction that meets the trouble is carried out at once and gets no
// answer, so that others read it before its sender knows; once the trouble is over all do.
func TestLostAnswersAreCarriedOutAtOnce(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	call := sim.Store.Call("n0")
	answers := map[string]int{}
	put := func(key string) {
		call(
			"POST",
			"/multi",
			fmt.Appendf(nil, `{"writes":[{"write":%q,"v":1}]}`, key),
			2*time.Second,
			func(status int, _ []byte, err error) {
				if err != nil {
					status = -1
				}
				answers[key] = status
			},
		)
	}
	sim.RunUntil(time.Second)
	sim.LostAnswers(1, time.Second)
	put("lost")
	sim.RunUntil(1100 * time.Millisecond)
	if sim.Store.Value("lost") == nil || len(answers) != 0 || sim.LostWrites != 1 {
		t.Errorf("at once: %s, answers %v, %d unheard", sim.Store.Value("lost"), answers, sim.LostWrites)
	}
	sim.RunUntil(2100 * time.Millisecond)
	put("heard")
	sim.RunUntil(4 * time.Second)
	if answers["lost"] != -1 || answers["heard"] != 200 || sim.LostWrites != 1 {
		t.Errorf("answers %v, %d unheard", answers, sim.LostWrites)
	}
}

// TestHeldReportsReachTheNextLeader: copies of reports wait for the next leader and come to it once it has
// acted, or to every controller as soon as it leads by the view.
func TestHeldReportsReachTheNextLeader(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		sim := NewSimulator(1, slog.New(slog.DiscardHandler))
		for _, name := range []string{"n0", "n1"} {
			sim.NodeNames = append(sim.NodeNames, name)
			sim.Nodes[name] = &Node{sim: sim, Name: name} // one that doesn't run hears nothing
		}
		act := func(node, key, v string) {
			sim.Store.Call(
				node,
			)(
				"POST",
				"/multi",
				fmt.Appendf(nil, `{"writes":[{"write":%q,"v":%s}]}`, key, v),
				time.Second,
				func(int, []byte, error) {},
			)
			sim.RunUntil(sim.At() + 9*time.Second)
		}
		arrived := func(what string, want int) {
			t.Helper()
			if sim.LateCopies != want {
				t.Errorf("everywhere %v, %s: %d copies, not %d", everywhere, what, sim.LateCopies, want)
			}
		}
		act("n0", "view", `{"leader":"n0","members":[{"name":"n0","inc":1},{"name":"n1","inc":2}],"epoch":1}`)
		sim.HoldReports(1, everywhere, time.Minute)
		sim.maybeReplay("n0", []byte("{}"))
		sim.maybeReplay("n1", []byte("{}"))
		act("n0", "a", "1")
		arrived("the same leader acts", 0)
		act("n1", "view", `{"leader":"n1","members":[{"name":"n1","inc":2}],"epoch":2}`)
		want := 0
		if everywhere {
			want = 4
		}
		arrived("another leads", want)
		act("n0", "a", "2")
		arrived("one acts that doesn't lead", want)
		act("n1", "a", "3")
		if !everywhere {
			want = 2
		}
		arrived("the new leader has acted", want)
		act("n1", "a", "4")
		arrived("later", want)
	}
}
