package api

import (
	"net/http"
	"strings"

	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/jobs"
)

// Request paths defined by the protocol.
const (
	heartbeatPath = "/agent/beat"
	healthPath    = "/up"
	jobsPath      = "/work"
	quotaPath     = "/quota"
	pipelinesPath = "/pipelines"
	cancelSuffix  = "/abort"
)

// Request handles a request from a user, an operator, an agent or the load balancer. It calls
// respond exactly once, either immediately or in a later iteration of the event loop.
func (s *Server) Request(m *http1.Message, respond func(http1.Reply)) {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == heartbeatPath:
		if requireMethod(m, http.MethodPost, respond) {
			s.agents.Heartbeat(m.Body, respond)
		}
	case path == healthPath:
		if requireMethod(m, http.MethodGet, respond) {
			s.handleHealthCheck(respond)
		}
	case path == jobsPath:
		if requireMethod(m, http.MethodPost, respond) {
			s.submit(m.Body, respond)
		}
	case strings.HasPrefix(path, jobsPath+"/"):
		s.handleJobRequest(m, path[len(jobsPath)+1:], respond)
	case path == quotaPath:
		s.handleQuotaRequest(m, respond)
	case isPipelinePath(path):
		s.handlePipelineRequest(m, path, respond)
	default:
		respond(errorReply(http.StatusNotFound, "no such path"))
	}
}

// handleJobRequest handles a request about one job. rest is the path after "/work/".
func (s *Server) handleJobRequest(m *http1.Message, rest string, respond func(http1.Reply)) {
	jobID, isCancel := strings.CutSuffix(rest, cancelSuffix)
	switch {
	case !jobs.ValidID(jobID):
		respond(errorReply(http.StatusNotFound, "no such job"))
	case isCancel:
		if requireMethod(m, http.MethodPost, respond) {
			s.cancel(jobID, respond)
		}
	case requireMethod(m, http.MethodGet, respond):
		s.query(jobID, respond)
	}
}

// IsUserRequest reports whether a request comes from a user or an operator, as opposed to an agent
// or the load balancer.
func IsUserRequest(m *http1.Message) bool {
	return m.Target == jobsPath ||
		strings.HasPrefix(m.Target, jobsPath+"/") ||
		strings.HasPrefix(m.Target, jobsPath+"?") ||
		m.Target == quotaPath ||
		isPipelinePath(m.Target)
}

func isPipelinePath(path string) bool {
	return path == pipelinesPath || strings.HasPrefix(path, pipelinesPath+"/")
}

// requireMethod reports whether a request has the method that its path requires. If not, it
// responds with "method not allowed".
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

// unavailable returns the response to a request that needs the state service while calls to it
// fail.
func unavailable() http1.Reply { return http1.Unavailable("state unavailable") }

// handleHealthCheck responds to the load balancer's health check.
func (s *Server) handleHealthCheck(respond func(http1.Reply)) {
	if !s.health.Healthy() {
		respond(http1.Unavailable("not ready"))
		return
	}
	respond(http1.Reply{Status: http.StatusOK, Body: []byte(`{"up":true}`)})
}
