package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// placeTask adds a machine that holds task n of a job in the given status.
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

// cancel_s after the first answer that told a user of the cancellation, each task that is still on
// a machine is reported, also one that waits, saves, hangs or is cut off, and one that starts
// later. None is reported before.
func TestCancelledTaskOnMachineTooLongIsReported(t *testing.T) {
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
			if repeated { // a second answer must not extend the time
				sim.After(30*time.Second, func() { sim.checkStatus(j, []byte(`{"status":"cancelled"}`)) })
			}
			if sim.RunUntil(41 * time.Second); len(sim.Violations) != 0 {
				t.Errorf("%s, told again %v, in time: violations %q", status, repeated, sim.Violations)
			}
			if sim.RunUntil(
				43 * time.Second,
			); len(sim.Violations) != 1 ||
				!strings.Contains(sim.Violations[0], "ran_cancelled: wk-000001/0 on i-1") {
				t.Errorf("%s, told again %v, too late: violations %q", status, repeated, sim.Violations)
			}
		}
	}
}

// An answer that was in flight when the user received a final status may arrive after it and show
// an older status. An answer that left its controller later may not contradict the final status.
func TestContradictionOfFinalStatusIsReported(t *testing.T) {
	sim := NewSimulator(1, slog.New(slog.DiscardHandler))
	j := &Job{ID: "wk-000001", TaskCount: 2, Accepted: true, Done: map[int]bool{0: true}}
	sim.RunUntil(time.Second)
	sim.answerSentAt = sim.Now
	if sim.checkStatus(
		j,
		[]byte(`{"status":"done"}`),
	); len(sim.Violations) != 1 ||
		!strings.Contains(sim.Violations[0], "not_done: wk-000001 has 1 of 2") {
		t.Errorf("done before the last task: violations %q", sim.Violations)
	}
	j.Done[1] = true
	sim.Violations = nil
	if sim.checkStatus(j, []byte(`{"status":"running"}`)); len(sim.Violations) != 0 {
		t.Errorf("reordered answer: violations %q", sim.Violations)
	}
	sim.answerSentAt = sim.Now.Add(time.Millisecond)
	if sim.checkStatus(
		j,
		[]byte(`{"status":"running"}`),
	); len(sim.Violations) != 1 ||
		!strings.Contains(sim.Violations[0], "went_back: wk-000001 was done, is running") {
		t.Errorf("later answer: violations %q", sim.Violations)
	}
}

// The start of a task that is still on another machine is reported, even if that machine hangs or
// is cut off, and so is a start that exceeds the team's limit.
func TestInvalidStartsAreReported(t *testing.T) {
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
	); len(sim.Violations) != 1 ||
		!strings.Contains(sim.Violations[0], "ran_twice: wk-000001/0 starts on i-2 while on i-1") {
		t.Errorf("second attempt: violations %q", sim.Violations)
	}
	sim.Violations = nil
	more := placeTask(sim, "i-3", j, 1, statusPulling)
	if more.begin(
		more.tasks["wk-000001/1#1"],
	); len(sim.Violations) != 1 ||
		!strings.Contains(sim.Violations[0], "quota: t uses 3 of 2") {
		t.Errorf("team limit: violations %q", sim.Violations)
	}
}

// A transaction affected by LateWrites gets no answer and is executed 2 to 12 s later, after newer
// ones, with its conditions checked then, and even if its sender is refused by then. After the end
// of the fault no transaction is affected.
func TestLateWritesAreExecutedLater(t *testing.T) {
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
		sim.Store.RefusedNodes["n0"] = true
		if sim.Store.Value("late") != nil || sim.Store.Value("new") == nil || sim.Store.Value("met") == nil ||
			answers["new"] != 200 {
			t.Errorf(
				"seed %d: values late %s, new %s; answers %v",
				seed, sim.Store.Value("late"), sim.Store.Value("new"), answers,
			)
		}
		revision := sim.Store.items["met"].Revision
		sim.RunUntil(14 * time.Second)
		if sim.Store.Value("late") == nil || answers["late"] != -1 || sim.LateWritesDone != 2 {
			t.Errorf(
				"seed %d: value late %s, answers %v, %d executed late",
				seed, sim.Store.Value("late"), answers, sim.LateWritesDone,
			)
		}
		if sim.Store.items["met"].Revision != revision {
			t.Errorf("seed %d: a late transaction was committed against its condition", seed)
		}
	}
}

// A transaction affected by LostAnswers is executed at once and gets no answer, so that others can
// read its writes before its sender knows of them. After the end of the fault all get answers.
func TestWritesWithLostAnswersAreExecutedAtOnce(t *testing.T) {
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
		t.Errorf("at once: value %s, answers %v, %d answers lost", sim.Store.Value("lost"), answers, sim.LostWrites)
	}
	sim.RunUntil(2100 * time.Millisecond)
	put("heard")
	sim.RunUntil(4 * time.Second)
	if answers["lost"] != -1 || answers["heard"] != 200 || sim.LostWrites != 1 {
		t.Errorf("answers %v, %d answers lost", answers, sim.LostWrites)
	}
}

// Held copies of reports are replayed to the next leader once it has committed a transaction or,
// with everywhere, to every controller as soon as that leader is in the view.
func TestHeldReportsReachTheNextLeader(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		sim := NewSimulator(1, slog.New(slog.DiscardHandler))
		for _, name := range []string{"n0", "n1"} {
			sim.NodeNames = append(sim.NodeNames, name)
			sim.Nodes[name] = &Node{sim: sim, Name: name} // a controller that isn't running ignores requests
		}
		commit := func(node, key, v string) {
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
			if sim.ReplayedReports != want {
				t.Errorf("everywhere %v, %s: %d copies, want %d", everywhere, what, sim.ReplayedReports, want)
			}
		}
		commit("n0", "view", `{"leader":"n0","members":[{"name":"n0","inc":1},{"name":"n1","inc":2}],"epoch":1}`)
		sim.HoldReports(1, everywhere, time.Minute)
		sim.maybeReplay("n0", []byte("{}"))
		sim.maybeReplay("n1", []byte("{}"))
		commit("n0", "a", "1")
		arrived("the same leader commits", 0)
		commit("n1", "view", `{"leader":"n1","members":[{"name":"n1","inc":2}],"epoch":2}`)
		want := 0
		if everywhere {
			want = 4
		}
		arrived("another leader in the view", want)
		commit("n0", "a", "2")
		arrived("a follower commits", want)
		commit("n1", "a", "3")
		if !everywhere {
			want = 2
		}
		arrived("the new leader commits", want)
		commit("n1", "a", "4")
		arrived("later", want)
	}
}
