package api

import (
	"net/http"
	"strings"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Paths of the requests, as the protocol names them.
const (
	heartbeatPath = "/agent/beat"
	healthPath    = "/up"
	jobsPath      = "/work"
	quotaPath     = "/quota"
	pipelinesPath = "/pipelines"
	cancelSuffix  = "/abort"
)

// Request handles a request of a user, an operator, an agent or the load balancer. respond is
// called exactly once, at once or in a later turn of the event loop.
func (s *Server) Request(m *http1.Message, respond func(http1.Reply)) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == heartbeatPath:
		if requireMethod(m, http.MethodPost, respond) {
			s.agents.Heartbeat(m.Body, respond)
		}
	case path == healthPath:
		if requireMethod(m, http.MethodGet, respond) {
			s.answerHealth(respond)
		}
	case path == jobsPath:
		if requireMethod(m, http.MethodPost, respond) {
			s.submit(m.Body, respond)
		}
	case strings.HasPrefix(path, jobsPath+"/"):
		s.jobRequest(m, path[len(jobsPath)+1:], respond)
	case path == quotaPath:
		s.quotaRequest(m, respond)
	case isPipelines(path):
		s.pipelineRequest(m, path, respond)
	default:
		respond(errorReply(http.StatusNotFound, "no such path"))
	}
}

// jobRequest handles a request about one job. rest is the path after the one of all jobs.
func (s *Server) jobRequest(m *http1.Message, rest string, respond func(http1.Reply)) {
	jobID, cancels := strings.CutSuffix(rest, cancelSuffix)
	switch {
	case !jobs.ValidID(jobID):
		respond(errorReply(http.StatusNotFound, "no such job"))
	case cancels:
		if requireMethod(m, http.MethodPost, respond) {
			s.cancel(jobID, respond)
		}
	case requireMethod(m, http.MethodGet, respond):
		s.query(jobID, respond)
	}
}

// IsUsers reports whether a request is a user's or an operator's, not an agent's or the load
// balancer's.
func IsUsers(m *http1.Message) bool {
	return m.Target == jobsPath ||
		strings.HasPrefix(m.Target, jobsPath+"/") ||
		strings.HasPrefix(m.Target, jobsPath+"?") ||
		m.Target == quotaPath ||
		isPipelines(m.Target)
}

func isPipelines(path string) bool {
	return path == pipelinesPath || strings.HasPrefix(path, pipelinesPath+"/")
}

// requireMethod reports whether a request has the method that its path takes, and answers it
// if not.
func requireMethod(m *http1.Message, want string, respond func(http1.Reply)) bool {
	if m.Method != want {
		respond(errorReply(http.StatusMethodNotAllowed, "use "+want))
		return false
	}
	return true
}

func errorReply(status int, text string) http1.Reply {
	return http1.Reply{Status: status, Body: http1.ErrorBody(text)}
}

// unavailable is the answer to whoever depends on a call to the state service that failed.
func unavailable() http1.Reply { return http1.Unavailable("state unavailable") }

// answerHealth tells the load balancer whether to send users here.
func (s *Server) answerHealth(respond func(http1.Reply)) {
	if !s.health.Healthy() {
		respond(http1.Unavailable("not ready"))
		return
	}
	respond(http1.Reply{Status: http.StatusOK, Body: []byte(`{"up":true}`)})
}
