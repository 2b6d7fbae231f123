package agent

import (
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func heartbeat(agentEpoch, heartbeatSeq, fencingToken uint64, statuses ...TaskStatus) *Heartbeat {
	return &Heartbeat{
		Machine:      "i-1",
		AgentEpoch:   agentEpoch,
		HeartbeatSeq: heartbeatSeq,
		FencingToken: fencingToken,
		Tasks:        statuses,
	}
}

func newKnownSession(t *testing.T) *Session {
	t.Helper()
	s := NewSession("i-1", 3, 0, now)
	s.Accept(heartbeat(1, 1, s.FencingToken()), now, nil)
	if s.State != Known {
		t.Fatal("the session is not known after a heartbeat with the current token")
	}
	return s
}

func attemptState(s *Session, taskID string, attempt uint64) AttemptState {
	state, _ := s.AttemptState(taskID, attempt)
	return state
}

func TestFencingTokenIsEpochAndCounter(t *testing.T) {
	s := NewSession("i-1", 3, 0, now)
	if s.FencingToken() != 3<<20 {
		t.Errorf("fencing token %d", s.FencingToken())
	}
	s.CommandUnanswered()
	if s.FencingToken() != 3<<20+1 {
		t.Errorf("fencing token %d after an unanswered command", s.FencingToken())
	}
	s.NewEpoch(4)
	if s.FencingToken() != 4<<20 || s.State != Unseen {
		t.Errorf("fencing token %d, state %s after a new epoch", s.FencingToken(), s.State)
	}
}

func TestHeartbeatWithOldTokenLeavesAttemptUnclear(t *testing.T) {
	s := NewSession("i-1", 3, 0, now)
	s.Accept(heartbeat(1, 1, 2<<20), now, map[string]uint64{"wk-1/0": 1})
	if state := attemptState(s, "wk-1/0", 1); state != Unclear {
		t.Errorf("attempt state %q", state)
	}
}

func TestRecordedAttemptMissingFromFirstHeartbeat(t *testing.T) {
	s := NewSession("i-1", 3, 0, now)
	running := TaskStatus{TaskID: "wk-1/1", Attempt: 2, Status: Running}
	s.Accept(heartbeat(1, 5, s.FencingToken(), running), now, map[string]uint64{"wk-1/0": 1, "wk-1/1": 2})
	if state := attemptState(s, "wk-1/0", 1); state != Missing {
		t.Errorf("recorded and not reported: %s", state)
	}
	if state := attemptState(s, "wk-1/1", 2); state != OnMachine {
		t.Errorf("recorded and reported: %s", state)
	}
	if state := attemptState(s, "wk-1/2", 1); state != ToLaunch {
		t.Errorf("neither recorded nor reported: %s", state)
	}
}

func TestLaunchIsPendingUntilAnswered(t *testing.T) {
	s := newKnownSession(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.Accept(heartbeat(1, 2, s.FencingToken()), now, nil)
	if state := attemptState(s, "wk-1/0", 1); state != Sent {
		t.Errorf("launch in flight: %s", state)
	}
	s.CommandAnswered()
	s.Accept(heartbeat(1, 3, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Pulling}), now, nil)
	if state := attemptState(s, "wk-1/0", 1); state != OnMachine {
		t.Errorf("launched and reported: %s", state)
	}
	s.Accept(heartbeat(1, 4, s.FencingToken()), now, nil)
	if state := attemptState(s, "wk-1/0", 1); state != Missing {
		t.Errorf("launched and no longer reported: %s", state)
	}
}

func TestUnansweredLaunchIsUnclearUntilNextToken(t *testing.T) {
	s := newKnownSession(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandUnanswered()
	s.Accept(heartbeat(1, 9, s.FencingToken()-1), now, nil)
	if state := attemptState(s, "wk-1/0", 1); state != Unclear {
		t.Errorf("the unanswered command may still be executed: %s", state)
	}
	s.Accept(heartbeat(1, 10, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if state := attemptState(s, "wk-1/0", 1); state != Missing {
		t.Errorf("the unanswered command can no longer be executed: %s", state)
	}
}

func TestNewAgentEpochMakesAttemptsMissing(t *testing.T) {
	s := newKnownSession(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandAnswered()
	s.Accept(heartbeat(1, 2, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Running}), now, nil)
	s.Accept(heartbeat(2, 3, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if state := attemptState(s, "wk-1/0", 1); state != Missing {
		t.Errorf("attempt state %q", state)
	}
}

func TestOldHeartbeatsAreIgnored(t *testing.T) {
	s := newKnownSession(t)
	s.Accept(heartbeat(2, 8, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Running}), now, nil)
	for _, old := range []*Heartbeat{
		heartbeat(2, 8, s.FencingToken()),
		heartbeat(2, 7, s.FencingToken()),
		heartbeat(1, 99, s.FencingToken()),
	} {
		if s.Accept(old, now, nil) {
			t.Errorf("accepted an old heartbeat: agent epoch %d, sequence number %d", old.AgentEpoch, old.HeartbeatSeq)
		}
	}
}

func TestNextHeartbeatAfterRefusedCommandIsAuthoritative(t *testing.T) {
	s := newKnownSession(t)
	s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}}, now)
	s.CommandRefused()
	if state := attemptState(s, "wk-1/0", 1); state != Unclear {
		t.Errorf("after the refusal: %s", state)
	}
	s.Accept(heartbeat(2, 9, s.FencingToken()), now, map[string]uint64{"wk-1/0": 1})
	if state := attemptState(s, "wk-1/0", 1); state != Missing {
		t.Errorf("after the next heartbeat: %s", state)
	}
}

func TestEarlierAttemptOnMachineDelaysLaunch(t *testing.T) {
	s := newKnownSession(t)
	s.Accept(heartbeat(1, 2, s.FencingToken(), TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Saving}), now, nil)
	if state := attemptState(s, "wk-1/0", 2); state != Unclear {
		t.Errorf("attempt state %q", state)
	}
}

// Time in which the owner did not run does not count as silence of the machine, but counts towards
// a preemption notice.
func TestStallOfOwnerIsNotSilenceOfMachine(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewSession("i-1", 1, 0, start)
	notice := 20.0
	s.Accept(&Heartbeat{Machine: "i-1", AgentEpoch: 1, HeartbeatSeq: 1, PreemptionNoticeS: &notice}, start, nil)
	s.Stalled(15 * time.Second)
	now := start.Add(16 * time.Second)
	if silence := now.Sub(s.LastStatus); silence != time.Second {
		t.Errorf("silent for %v, want 1 s", silence)
	}
	if left := *s.PreemptionNoticeS - now.Sub(s.LastStatus).Seconds(); left != 4 {
		t.Errorf("%v s left until the preemption, want 4 s", left)
	}
}

// A worker lists an attempt until it is told to forget it, so a heartbeat may list two attempts of
// one task, in any order. When the ended attempt was taken for the only one, the newer, running
// attempt appeared to be missing and would have been placed a second time.
func TestHeartbeatWithTwoAttemptsOfOneTask(t *testing.T) {
	ended := TaskStatus{TaskID: "wk-1/0", Attempt: 1, Status: Ended, Cause: CauseDone}
	running := TaskStatus{TaskID: "wk-1/0", Attempt: 2, Status: Running}
	for _, c := range []struct {
		name  string
		order []TaskStatus
	}{
		{"the ended attempt first", []TaskStatus{ended, running}},
		{"the running attempt first", []TaskStatus{running, ended}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSession("i-1", 1, 0, time.Unix(0, 0))
			s.Accept(heartbeat(1, 1, s.FencingToken(), ended), time.Unix(1, 0), nil)
			if state, _ := s.AttemptState("wk-1/0", 2); state != ToLaunch {
				t.Fatal(state)
			}
			s.CommandSent([]Command{{Verb: Launch, TaskID: "wk-1/0", Attempt: 2}}, time.Unix(2, 0))
			s.CommandAnswered()
			s.Accept(heartbeat(1, 2, s.FencingToken(), c.order...), time.Unix(3, 0), nil)
			if state, status := s.AttemptState("wk-1/0", 2); state != OnMachine || status.Attempt != 2 {
				t.Errorf("the running attempt is %s", state)
			}
			if state, status := s.AttemptState("wk-1/0", 1); state != EndReported || status.Cause != CauseDone {
				t.Errorf("the ended attempt is %s", state)
			}
			if state, status := s.AttemptState("wk-1/0", 3); state != Unclear || status.Attempt != 2 {
				t.Errorf("a third attempt is %s while another one runs", state)
			}
		})
	}
}
