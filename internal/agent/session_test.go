package agent

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func report(agentEpoch, heartbeatSeq, fencingToken uint64, ps ...TaskStatus) *Heartbeat {
	return &Heartbeat{Machine: "i-1", AgentEpoch: agentEpoch, HeartbeatSeq: heartbeatSeq, FencingToken: fencingToken, Tasks: ps}
}

func known(t *testing.T) *Session {
	t.Helper()
	s := NewSession("i-1", 3, now)
	s.Accept(report(1, 1, s.FencingToken()), now, nil)
	if s.State != Known {
		t.Fatal("a report with our baton makes the machine known")
	}
	return s
}

func verdict(s *Session, taskID string, attempt uint64) Verdict {
	v, _ := s.Judge(taskID, attempt)
	return v
}

func TestBatonIsEpochAndCounter(t *testing.T) {
	s := NewSession("i-1", 3, now)
	if s.FencingToken() != 3<<20 {
		t.Errorf("baton %d", s.FencingToken())
	}
	s.CommandUnanswered()
	if s.FencingToken() != 3<<20+1 {
		t.Errorf("an unanswered command raises the counter: %d", s.FencingToken())
	}
	s.NewEpoch(4)
	if s.FencingToken() != 4<<20 || s.State != Unseen {
		t.Errorf("a new epoch starts anew: %d %s", s.FencingToken(), s.State)
	}
}

func TestReportsUnderAnotherBatonProveNothing(t *testing.T) {
	s := NewSession("i-1", 3, now)
	s.Accept(report(1, 1, 2<<20), now, map[string]uint64{"wk-1/0": 1})
	if v := verdict(s, "wk-1/0", 1); v != Unclear {
		t.Errorf("%s", v)
	}
}

func TestRecordedButNotThereAtAdoption(t *testing.T) {
	s := NewSession("i-1", 3, now)
	s.Accept(report(1, 5, s.FencingToken(), TaskStatus{TaskID: "wk-1/1", Attempt: 2, Status: Running}), now, map[string]uint64{"wk-1/0": 1, "wk-1/1": 2})
	if v := verdict(s, "wk-1/0", 1); v != Missing {
		t.Errorf("its try is over: %s", v)
	}
	if v := verdict(s, "wk-1/1", 2); v != OnIt {
		t.Errorf("%s", v)
	}
	if v := verdict(s, "wk-1/2", 1); v != ToLaunch {
		t.Errorf("placed later: %s", v)
	}
}

func TestLaunchIsJudgedOnlyAfterItsAnswer(t *testing.T) {
	s := known(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.Accept(report(1, 2, s.FencingToken()), now, nil)
	if v := verdict(s, "wk-1/0", 1); v != Sent {
		t.Errorf("under way: %s", v)
	}
	s.CommandAnswered()
	s.Accept(report(1, 3, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Pulling}), now, nil)
	if v := verdict(s, "wk-1/0", 1); v != OnIt {
		t.Errorf("%s", v)
	}
	s.Accept(report(1, 4, s.FencingToken()), now, nil)
	if v := verdict(s, "wk-1/0", 1); v != Missing {
		t.Errorf("gone: %s", v)
	}
}

func TestUnansweredLaunchWaitsForTheNewBaton(t *testing.T) {
	s := known(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandUnanswered()
	s.Accept(report(1, 9, s.FencingToken()-1), now, nil)
	if v := verdict(s, "wk-1/0", 1); v != Unclear {
		t.Errorf("the old command may still come: %s", v)
	}
	s.Accept(report(1, 10, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if v := verdict(s, "wk-1/0", 1); v != Missing {
		t.Errorf("now it cannot: %s", v)
	}
}

func TestNewTenureEndsAllTries(t *testing.T) {
	s := known(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandAnswered()
	s.Accept(report(1, 2, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Running}), now, nil)
	s.Accept(report(2, 3, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if v := verdict(s, "wk-1/0", 1); v != Missing {
		t.Errorf("%s", v)
	}
}

func TestOldReportsAreIgnored(t *testing.T) {
	s := known(t)
	s.Accept(report(2, 8, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Running}), now, nil)
	for _, r := range []*Heartbeat{report(2, 8, s.FencingToken()), report(2, 7, s.FencingToken()), report(1, 99, s.FencingToken())} {
		if s.Accept(r, now, nil) {
			t.Errorf("%d/%d is not newer", r.AgentEpoch, r.HeartbeatSeq)
		}
	}
}

func TestRefusedBelievesTheNextReport(t *testing.T) {
	s := known(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandRefused()
	if v := verdict(s, "wk-1/0", 1); v != Unclear {
		t.Errorf("%s", v)
	}
	s.Accept(report(2, 9, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if v := verdict(s, "wk-1/0", 1); v != Missing {
		t.Errorf("%s", v)
	}
}

func TestAnOlderTryHoldsBackTheLaunch(t *testing.T) {
	s := known(t)
	s.Accept(report(1, 2, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Saving}), now, nil)
	if v := verdict(s, "wk-1/0", 2); v != Unclear {
		t.Errorf("%s", v)
	}
}

// Time in which the owner stood still is not the machine's silence; the cloud's
// notice runs on.
func TestStandstillIsNotSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewSession("i-1", 1, start)
	warning := 20.0
	s.Accept(&Heartbeat{Machine: "i-1", AgentEpoch: 1, HeartbeatSeq: 1, PreemptionNoticeS: &warning}, start, nil)
	s.Stalled(15 * time.Second)
	now := start.Add(16 * time.Second)
	if unresponsive := now.Sub(s.LastStatus); unresponsive != time.Second {
		t.Errorf("silent for %v", unresponsive)
	}
	if left := *s.PreemptionNoticeS - now.Sub(s.LastStatus).Seconds(); left != 4 {
		t.Errorf("%v s left of the notice", left)
	}
}

// A report lists an attempt until it is reaped, and so may hold two of one task, in
// any order. Taken for the only one, the ended attempt made the newer one, which ran,
// look gone: it would have been given away a second time.
func TestTwoAttempts(t *testing.T) {
	for _, first := range []uint64{1, 2} {
		s := NewSession("i-1", 1, time.Unix(0, 0))
		report := func(heartbeatSeq uint64, pieces ...TaskStatus) *Heartbeat {
			return &Heartbeat{Machine: "i-1", AgentEpoch: 1, HeartbeatSeq: heartbeatSeq, FencingToken: s.FencingToken(), Tasks: pieces}
		}
		old, now := TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Ended, Cause: CauseDone}, TaskStatus{TaskID: "wk-1/0", Attempt: 2, Status: Running}
		s.Accept(report(1, old), time.Unix(1, 0), nil)
		if v, _ := s.Judge("wk-1/0", 2); v != ToLaunch {
			t.Fatal(v)
		}
		s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 2}}, time.Unix(2, 0))
		s.CommandAnswered()
		if first == 1 {
			s.Accept(report(2, old, now), time.Unix(3, 0), nil)
		} else {
			s.Accept(report(2, now, old), time.Unix(3, 0), nil)
		}
		if v, p := s.Judge("wk-1/0", 2); v != OnIt || p.Attempt != 2 {
			t.Errorf("the running attempt is %s", v)
		}
		if v, p := s.Judge("wk-1/0", 1); v != Over || p.Cause != CauseDone {
			t.Errorf("the ended attempt is %s", v)
		}
		if v, p := s.Judge("wk-1/0", 3); v != Unclear || p.Attempt != 2 {
			t.Errorf("a third attempt is %s beside a running one", v)
		}
	}
}
