package agent

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

var (
	launchFirst  = Command{Verb: Launch, TaskID: "wk-1/0", Attempt: 1}
	forgetFirst  = Command{Verb: Forget, TaskID: "wk-1/0", Attempt: 1}
	launchSecond = Command{Verb: Launch, TaskID: "wk-2/0", Attempt: 1}
)

// sendDirect sends commands in a direct command that is answered.
func sendDirect(s *Session, commands ...Command) {
	s.EncodeDirect(commands)
	s.CommandSent(commands, now)
	s.CommandAnswered()
}

func TestTokenRisesBeforeLaunchedAttemptIsForgotten(t *testing.T) {
	for name, encode := range map[string]func(s *Session, commands []Command) []byte{
		"direct command": (*Session).EncodeDirect,
		"reply":          (*Session).EncodeReply,
	} {
		t.Run(name, func(t *testing.T) {
			s := newKnownSession(t)
			sendDirect(s, launchFirst)
			launchToken := s.FencingToken()
			body := decodeMessage(t, encode(s, []Command{forgetFirst, launchSecond}))
			if body.FencingToken <= launchToken || body.FencingToken != s.FencingToken() {
				t.Errorf("forgotten under token %d, launched under %d", body.FencingToken, launchToken)
			}
			if len(body.Commands) != 2 || s.State != Known {
				t.Errorf("commands %v, state %s", body.Commands, s.State)
			}
		})
	}
}

func TestTokenRisesOnceForSeveralForgottenAttempts(t *testing.T) {
	s := newKnownSession(t)
	sendDirect(s, launchFirst, launchSecond)
	s.EncodeReply([]Command{forgetFirst})
	token := s.FencingToken()
	s.EncodeReply([]Command{forgetFirst})
	s.EncodeDirect([]Command{{Verb: Forget, TaskID: "wk-2/0", Attempt: 1}})
	if s.FencingToken() != token {
		t.Errorf("token %d, then %d", token, s.FencingToken())
	}
}

func TestNothingIsForgottenWhileLaunchIsUnanswered(t *testing.T) {
	s := newKnownSession(t)
	s.CommandSent([]Command{launchFirst}, now)
	token := s.FencingToken()
	body := decodeMessage(t, s.EncodeReply([]Command{forgetFirst}))
	if len(body.Commands) != 0 || s.FencingToken() != token {
		t.Errorf("commands %v under token %d, launch sent under %d", body.Commands, s.FencingToken(), token)
	}
	if state := attemptState(s, "wk-1/0", 1); state != Sent {
		t.Errorf("the launch is %s", state)
	}
}

func TestNothingIsForgottenOnceCounterIsExhausted(t *testing.T) {
	s := newKnownSession(t)
	s.Counter = FencingTokenSpan - 1
	sendDirect(s, launchFirst)
	body := decodeMessage(t, s.EncodeReply([]Command{forgetFirst, launchSecond}))
	if len(body.Commands) != 1 || body.Commands[0] != launchSecond || s.Epoch != 3 {
		t.Errorf("commands %v under epoch %d", body.Commands, s.Epoch)
	}
}

func TestNothingIsForgottenBySessionWithExhaustedCounter(t *testing.T) {
	s := NewSession("i-1", 3, FencingTokenSpan, now)
	s.Accept(heartbeat(1, 1, s.FencingToken()), now, nil)
	body := decodeMessage(t, s.EncodeReply([]Command{forgetFirst}))
	if len(body.Commands) != 0 || s.Epoch != 3 || body.FencingToken >= 4*FencingTokenSpan {
		t.Errorf("commands %v under token %d", body.Commands, body.FencingToken)
	}
}

// The refusal leaves the token as it is, and with it what was launched under it.
func TestTokenRisesForAttemptLaunchedBeforeRefusedCommand(t *testing.T) {
	s := newKnownSession(t)
	sendDirect(s, launchFirst)
	token := s.FencingToken()
	s.CommandSent(nil, now)
	s.CommandRefused()
	s.Accept(heartbeat(1, 5, token), now, nil)
	s.EncodeReply([]Command{forgetFirst})
	if s.FencingToken() <= token {
		t.Errorf("forgotten under token %d, launched under %d", s.FencingToken(), token)
	}
}

// message is a direct command or a reply to a heartbeat, as an agent reads it.
type message struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"` // 0 in a reply
	Commands     []Command `json:"orders"`
}

func decodeMessage(t require, body []byte) message {
	t.Helper()
	var decoded message
	if err := json.Unmarshal(body, &decoded); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return decoded
}

// require is what *testing.T and *rapid.T have in common here.
type require interface {
	Helper()
	Fatalf(format string, args ...any)
}

// agentModel is a worker's agent, and the messages that were sent to it. Each direct command may be carried
// out at any later time, and once more; a reply is carried out when it is sent, or lost.
type agentModel struct {
	session      *Session
	fencingToken uint64
	agentEpoch   uint64
	heartbeatSeq uint64
	ended        map[Command]bool // by launch, the attempts that are listed; true if it has ended
	forgotten    map[Command]bool // by launch
	sent         []message        // direct commands
	attempts     uint64
}

// carryOut carries out a message if its token and agent epoch match.
func (m *agentModel) carryOut(t *rapid.T, received message) (executed bool) {
	if received.FencingToken < m.fencingToken || received.AgentEpoch != 0 && received.AgentEpoch != m.agentEpoch {
		return false
	}
	m.fencingToken = received.FencingToken
	for _, command := range received.Commands {
		launch := Command{Verb: Launch, TaskID: command.TaskID, Attempt: command.Attempt}
		switch command.Verb {
		case Launch:
			if m.forgotten[launch] {
				t.Fatalf("%s#%d is launched after it was forgotten", command.TaskID, command.Attempt)
			}
			if _, listed := m.ended[launch]; !listed {
				m.ended[launch] = false
			}
		case Forget:
			if m.ended[launch] {
				delete(m.ended, launch)
				m.forgotten[launch] = true
			}
		case Stop:
		}
	}
	return true
}

// interrupt makes the agent lose its lease, or the owner its session, now and then.
func (m *agentModel) interrupt(t *rapid.T) {
	switch rapid.IntRange(0, 15).Draw(t, "interruption") {
	case 0: // the lease expires
		m.agentEpoch++
		m.ended = map[Command]bool{}
	case 1: // the view changes
		m.session.NewEpoch(m.session.Epoch + 1)
	case 2: // the owner changes
		m.session = NewSession("i-1", m.session.Epoch+1, 0, now)
	case 3: // the owner starts its session anew
		m.session = NewSession("i-1", m.session.Epoch, m.session.Counter+1, now)
	}
}

// status returns the agent's heartbeat.
func (m *agentModel) status() *Heartbeat {
	m.heartbeatSeq++
	status := heartbeat(m.agentEpoch, m.heartbeatSeq, m.fencingToken)
	for launch, ended := range m.ended {
		task := TaskStatus{TaskID: launch.TaskID, Attempt: launch.Attempt, Status: Running}
		if ended {
			task.Status, task.Cause = Ended, CauseDone
		}
		status.Tasks = append(status.Tasks, task)
	}
	return status
}

// commands returns what the owner sends: it forgets ended attempts, and may launch another one.
func (m *agentModel) commands(t *rapid.T) []Command {
	commands := []Command{}
	if m.session.State != Known {
		return commands
	}
	for _, attempts := range m.session.Tasks {
		for _, status := range attempts {
			if status.Status == Ended {
				commands = append(commands, Command{Verb: Forget, TaskID: status.TaskID, Attempt: status.Attempt})
				m.session.ForgetTask(status.TaskID, status.Attempt)
			}
		}
	}
	if rapid.Bool().Draw(t, "launch") {
		m.attempts++
		commands = append(commands, Command{Verb: Launch, TaskID: "wk-1/0", Attempt: m.attempts})
	}
	return commands
}

// direct sends a direct command, which is answered, refused, not answered although it was carried out, or
// not answered and not carried out yet.
func (m *agentModel) direct(t *rapid.T) {
	if m.session.CommandPending {
		t.Skip("a command is pending")
	}
	commands := m.commands(t)
	sent := decodeMessage(t, m.session.EncodeDirect(commands))
	m.session.CommandSent(sent.Commands, now)
	m.sent = append(m.sent, sent)
	arrives, answered := likely(t, "arrives"), likely(t, "answered")
	executed := arrives && m.carryOut(t, sent)
	switch {
	case !answered:
		m.session.CommandUnanswered()
	case executed:
		m.session.CommandAnswered()
		m.session.Accept(m.status(), now, nil)
	case arrives:
		m.session.CommandRefused()
		m.session.Accept(m.status(), now, nil)
	default:
		m.session.CommandUnanswered()
	}
}

// report sends a heartbeat; the reply may be lost.
func (m *agentModel) report(t *rapid.T) {
	m.session.Accept(m.status(), now, nil)
	if m.fencingToken > m.session.FencingToken() {
		return
	}
	commands := m.commands(t)
	if m.session.State == Known {
		commands = withoutLaunches(commands)
	}
	reply := decodeMessage(t, m.session.EncodeReply(commands))
	if likely(t, "reply arrives") {
		m.carryOut(t, reply)
	}
}

// likely draws whether something happens that mostly does.
func likely(t *rapid.T, label string) bool { return rapid.IntRange(0, 7).Draw(t, label) > 0 }

func withoutLaunches(commands []Command) []Command {
	kept := []Command{}
	for _, command := range commands {
		if command.Verb != Launch {
			kept = append(kept, command)
		}
	}
	return kept
}

// No attempt is launched after its agent forgot it, whenever copies of commands arrive: before and after its
// end, the message that forgets it, its lost answer and its repetition, a lost lease, a new owner, and a
// session that the owner started anew.
func TestForgottenAttemptIsNeverLaunchedByLateCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &agentModel{
			session:    NewSession("i-1", 1, 0, now),
			agentEpoch: 1,
			ended:      map[Command]bool{},
			forgotten:  map[Command]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"direct": m.direct,
			"report": m.report,
			"task ends": func(*rapid.T) {
				for launch := range m.ended {
					m.ended[launch] = true
				}
			},
			"copy": func(t *rapid.T) {
				if len(m.sent) == 0 {
					t.Skip("nothing was sent")
				}
				m.carryOut(t, m.sent[rapid.IntRange(0, len(m.sent)-1).Draw(t, "copied")])
			},
			"interruption": m.interrupt,
		})
	})
}
