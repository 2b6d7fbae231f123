package api

import (
	"strings"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Request takes a request from the front door. respond is called exactly once.
func (s *Server) Request(m *http1.Message, respond func(http1.Reply)) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == "/agent/beat":
		if requireMethod(m, "POST", respond) {
			s.agents.Heartbeat(m.Body, respond)
		}
	case path == "/up":
		if requireMethod(m, "GET", respond) {
			s.answerHealth(respond)
		}
	case path == "/work":
		if requireMethod(m, "POST", respond) {
			s.submit(m.Body, respond)
		}
	case strings.HasPrefix(path, "/work/"):
		jobID, abort := strings.CutSuffix(path[len("/work/"):], "/abort")
		if !jobs.ValidID(jobID) {
			respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such job")})
			return
		}
		if abort {
			if requireMethod(m, "POST", respond) {
				s.cancel(jobID, respond)
			}
			return
		}
		if requireMethod(m, "GET", respond) {
			s.query(jobID, respond)
		}
	case path == quotaPath:
		s.quotaRequest(m, respond)
	case isPipelines(path):
		s.pipelineRequest(m, path, respond)
	default:
		respond(http1.Reply{Status: 404, Body: http1.ErrorBody("no such path")})
	}
}

// IsUsers tells a user's request from a worker's or the load balancer's.
func IsUsers(m *http1.Message) bool {
	return m.Target == "/work" || strings.HasPrefix(m.Target, "/work/") || strings.HasPrefix(m.Target, "/work?") ||
		m.Target == quotaPath ||
		isPipelines(m.Target)
}

func requireMethod(m *http1.Message, want string, respond func(http1.Reply)) bool {
	if m.Method != want {
		respond(http1.Reply{Status: 405, Body: http1.ErrorBody("use " + want)})
		return false
	}
	return true
}

// up tells the load balancer whether to send users here.
func (s *Server) answerHealth(respond func(http1.Reply)) {
	if !s.health.Healthy() {
		respond(http1.Refuse("not ready"))
		return
	}
	respond(http1.Reply{Status: 200, Body: []byte(`{"up":true}`)})
}
