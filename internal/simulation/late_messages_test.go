package simulation

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// place has a machine hold a job's task in some state.
func place(w *Simulator, machine string, j *Job, n int, status taskStatus) *Agent {
	p := &agentTask{taskID: fmt.Sprintf("%s/%d", j.ID, n), attempt: 1, status: status, job: j, index: n}
	wk := &Agent{
		sim:     w,
		machine: &cloudMachine{ID: machine, MachineType: "g4", Zone: "a"},
		tasks:   map[string]*agentTask{attemptKey(p.taskID, 1): p},
	}
	w.Agents[machine] = wk
	return wk
}

// TestCancelledTaskOnMachineTooLongBreaks: cancel_s after a user was told, by whichever answer, each task that is
// still on a machine breaks the rule, also one that waits, saves, hangs or is cut off, and
// so does one that begins later; none does before.
func TestCancelledTaskOnMachineTooLongBreaks(t *testing.T) {
	atFirst := map[string]taskStatus{"waiting": statusWaiting, "saving": statusSaving, "begins": statusPulling}
	for _, again := range []bool{false, true} {
		for _, status := range []string{"waiting", "running", "saving", "hung", "cut", "begins"} {
			w := NewSimulator(1, slog.New(slog.DiscardHandler))
			w.CancelS = 41
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
			w.Jobs[j.ID] = j
			wk := place(w, "i-1", j, 0, atFirst[status])
			p := wk.tasks["wk-000001/0#1"]
			switch status {
			case "running", "cut":
				p.status = statusRunning
				w.Cut("*", "i-1", false)
			case "hung":
				p.status, wk.Hung = statusRunning, true
			case "begins":
				w.After(42*time.Second, func() { wk.begin(p) })
			}
			w.checkStatus(j, []byte(`{"uid":"wk-000001","status":"cancelled"}`))
			if again { // told once more, which changes nothing
				w.After(30*time.Second, func() { w.checkStatus(j, []byte(`{"status":"cancelled"}`)) })
			}
			if w.RunUntil(41 * time.Second); len(w.Broken) != 0 {
				t.Errorf("%s, told again %v, in time: %q", status, again, w.Broken)
			}
			if w.RunUntil(
				43 * time.Second,
			); len(w.Broken) != 1 ||
				!strings.Contains(w.Broken[0], "ran_cancelled: wk-000001/0 on i-1") {
				t.Errorf("%s, told again %v, too late: %q", status, again, w.Broken)
			}
		}
	}
}

// TestAnswersThatGoBackBreak: an answer that was on its way when the user was told another may
// come last; one that left its controller later may not take back what was told.
func TestAnswersThatGoBackBreak(t *testing.T) {
	w := NewSimulator(1, slog.New(slog.DiscardHandler))
	j := &Job{ID: "wk-000001", TaskCount: 2, Accepted: true, Done: map[int]bool{0: true}}
	w.RunUntil(time.Second)
	w.answerSentAt = w.Now
	if w.checkStatus(
		j,
		[]byte(`{"status":"done"}`),
	); len(w.Broken) != 1 ||
		!strings.Contains(w.Broken[0], "not_done: wk-000001 has 1 of 2") {
		t.Errorf("done before the last task: %q", w.Broken)
	}
	j.Done[1] = true
	w.Broken = nil
	if w.checkStatus(j, []byte(`{"status":"running"}`)); len(w.Broken) != 0 {
		t.Errorf("an answer that crossed: %q", w.Broken)
	}
	w.answerSentAt = w.Now.Add(time.Millisecond)
	if w.checkStatus(
		j,
		[]byte(`{"status":"running"}`),
	); len(w.Broken) != 1 ||
		!strings.Contains(w.Broken[0], "went_back: wk-000001 was done, is running") {
		t.Errorf("a later answer: %q", w.Broken)
	}
}

// TestStartsAgainstTheRulesBreak: a task that starts while it is on another machine, hung or cut off
// though that be, breaks a rule, and so does one beyond its team's limit.
func TestStartsAgainstTheRulesBreak(t *testing.T) {
	w := NewSimulator(1, slog.New(slog.DiscardHandler))
	w.TeamLimits["t"] = 2
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
	w.Jobs[j.ID] = j
	place(w, "i-1", j, 0, statusRunning).Hung = true
	w.Cut("*", "i-1", false)
	again := place(w, "i-2", j, 0, statusPulling)
	if again.begin(
		again.tasks["wk-000001/0#1"],
	); len(w.Broken) != 1 ||
		!strings.Contains(w.Broken[0], "ran_twice: wk-000001/0 starts on i-2 while on i-1") {
		t.Errorf("twice: %q", w.Broken)
	}
	w.Broken = nil
	more := place(w, "i-3", j, 1, statusPulling)
	if more.begin(
		more.tasks["wk-000001/1#1"],
	); len(w.Broken) != 1 ||
		!strings.Contains(w.Broken[0], "quota: t uses 3 of 2") {
		t.Errorf("quota: %q", w.Broken)
	}
}

// TestLateWritesAreCarriedOutLater: a transaction that meets the trouble gets no answer and is carried out
// after newer ones, on its own conditions, 2 to 12 s later, though its sender is refused
// by then; once the trouble is over none does.
func TestLateWritesAreCarriedOutLater(t *testing.T) {
	for seed := range uint64(20) {
		w := NewSimulator(seed, slog.New(slog.DiscardHandler))
		call := w.Store.Call("n0")
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
		w.RunUntil(time.Second)
		w.LateWrites(1, time.Second)
		put("late", 0)
		put("met", 0)
		w.RunUntil(2*time.Second + time.Millisecond)
		put("new", 0)
		put("met", 0)
		w.RunUntil(2900 * time.Millisecond)
		w.Store.Refuse["n0"] = true
		if w.Store.Value("late") != nil || w.Store.Value("new") == nil || w.Store.Value("met") == nil ||
			answers["new"] != 200 {
			t.Errorf("seed %d: late %s, new %s, answers %v", seed, w.Store.Value("late"), w.Store.Value("new"), answers)
		}
		revision := w.Store.items["met"].Revision
		w.RunUntil(14 * time.Second)
		if w.Store.Value("late") == nil || answers["late"] != -1 || w.LateWritesDone != 2 {
			t.Errorf("seed %d: late %s, answers %v, %d carried out late", seed, w.Store.Value("late"), answers, w.LateWritesDone)
		}
		if w.Store.items["met"].Revision != revision {
			t.Errorf("seed %d: a late transaction went against its condition", seed)
		}
	}
}

// TestLostAnswersAreCarriedOutAtOnce: a transaction that meets the trouble is carried out at once and gets no
// answer, so that others read it before its sender knows; once the trouble is over all do.
func TestLostAnswersAreCarriedOutAtOnce(t *testing.T) {
	w := NewSimulator(1, slog.New(slog.DiscardHandler))
	call := w.Store.Call("n0")
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
	w.RunUntil(time.Second)
	w.LostAnswers(1, time.Second)
	put("lost")
	w.RunUntil(1100 * time.Millisecond)
	if w.Store.Value("lost") == nil || len(answers) != 0 || w.LostWrites != 1 {
		t.Errorf("at once: %s, answers %v, %d unheard", w.Store.Value("lost"), answers, w.LostWrites)
	}
	w.RunUntil(2100 * time.Millisecond)
	put("heard")
	w.RunUntil(4 * time.Second)
	if answers["lost"] != -1 || answers["heard"] != 200 || w.LostWrites != 1 {
		t.Errorf("answers %v, %d unheard", answers, w.LostWrites)
	}
}

// TestHeldReportsReachTheNextLeader: copies of reports wait for the next leader and come to it once it has
// acted, or to every controller as soon as it leads by the view.
func TestHeldReportsReachTheNextLeader(t *testing.T) {
	for _, everywhere := range []bool{false, true} {
		w := NewSimulator(1, slog.New(slog.DiscardHandler))
		for _, name := range []string{"n0", "n1"} {
			w.NodeNames = append(w.NodeNames, name)
			w.Nodes[name] = &Node{sim: w, Name: name} // one that doesn't run hears nothing
		}
		act := func(node, key, v string) {
			w.Store.Call(
				node,
			)(
				"POST",
				"/multi",
				fmt.Appendf(nil, `{"writes":[{"write":%q,"v":%s}]}`, key, v),
				time.Second,
				func(int, []byte, error) {},
			)
			w.RunUntil(w.At() + 9*time.Second)
		}
		arrived := func(what string, want int) {
			t.Helper()
			if w.LateCopies != want {
				t.Errorf("everywhere %v, %s: %d copies, not %d", everywhere, what, w.LateCopies, want)
			}
		}
		act("n0", "view", `{"leader":"n0","members":[{"name":"n0","inc":1},{"name":"n1","inc":2}],"epoch":1}`)
		w.HoldReports(1, everywhere, time.Minute)
		w.maybeReplay("n0", []byte("{}"))
		w.maybeReplay("n1", []byte("{}"))
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
