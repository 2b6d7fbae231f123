package agent

import (
	"slices"

	"github.com/harrierreel/harrierreel/internal/jobs"
)

// EncodeDirect returns the body of a direct command to the worker, for the agent epoch that it last
// showed. The token is the session's FencingToken afterwards.
func (s *Session) EncodeDirect(commands []Command) []byte {
	commands = s.fence(commands)
	return EncodeCommands(s.FencingToken(), max(s.AgentEpoch, 1), commands)
}

// EncodeReply returns the body of the reply that renews the worker's lease.
func (s *Session) EncodeReply(commands []Command) []byte {
	commands = s.fence(commands)
	return jobs.Encode(struct {
		FencingToken uint64    `json:"baton"`
		Commands     []Command `json:"orders"`
	}{s.FencingToken(), commands})
}

// fence returns the commands that may be sent now. An agent that has forgotten an attempt starts it again
// if a copy of its launch arrives, which may happen minutes after the launch was answered. The token is
// therefore raised first, so that the agent refuses that copy by the time it forgets the attempt.
//
// The session stays Known: under the former token no command is unanswered, and none that was answered
// changes anything before the agent has seen the new one. While a command is unanswered, or when the
// counter is exhausted, nothing is forgotten.
func (s *Session) fence(commands []Command) []Command {
	isForget := func(command Command) bool { return command.Verb == Forget }
	if !s.launchedUnderToken || !slices.ContainsFunc(commands, isForget) {
		return commands
	}
	if s.CommandPending || s.Counter+1 >= FencingTokenSpan {
		return slices.DeleteFunc(slices.Clone(commands), isForget)
	}
	s.Counter++
	s.launchedUnderToken = false
	return commands
}
