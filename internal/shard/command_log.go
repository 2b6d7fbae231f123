package shard

import (
	"context"
	"fmt"
	"log/slog"
	"strings"

	"github.com/harrierreel/harrierreel/internal/agent"
)

// logCommands logs commands to a machine's agent, with the token that allows them.
func (s *Shard) logCommands(message string, session *agent.Session, commands []agent.Command) {
	if len(commands) == 0 || !s.config.Log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var texts []string
	for _, command := range commands {
		texts = append(texts, fmt.Sprintf("%s %s#%d", command.Verb, command.TaskID, command.Attempt))
	}
	s.config.Log.Debug(
		message,
		"machine", session.Machine,
		"epoch", session.Epoch,
		"fencing_token", session.FencingToken(),
		"agent_epoch", session.AgentEpoch,
		"known_revision", s.view.KnownEpoch(),
		"commands", strings.Join(texts, ", "),
	)
}

// logUnrecordedAttempt logs that a machine holds an attempt of a task whose record names another attempt
// or another machine: that task may be on two machines.
func (s *Shard) logUnrecordedAttempt(session *agent.Session, status agent.TaskStatus) {
	task := s.taskByID(status.TaskID)
	if task == nil || !task.OnMachine() || !isLive(task.Job) {
		return
	}
	s.config.Log.Info(
		"unrecorded attempt on machine",
		"machine", session.Machine,
		"task_id", status.TaskID,
		"attempt", status.Attempt,
		"status", status.Status,
		"recorded_machine", task.Machine,
		"recorded_attempt", task.Attempt,
		"epoch", session.Epoch,
		"fencing_token", session.FencingToken(),
		"agent_epoch", session.AgentEpoch,
	)
}
