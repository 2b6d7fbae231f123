package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/agent"
	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/store"
)

// AgentCall sends one HTTP request to an agent and calls done later, on the loop. The error is
// http1.ErrNotSent if the request's permit ended before it was sent.
type AgentCall func(request agent.Request, done func(status int, body []byte, err error))

// Transport holds the functions with which a controller reaches other services. Answers arrive on
// the loop, through Run.
type Transport struct {
	Store       store.Call
	Watch       store.Call // separate, since a held watch must not delay other calls
	Cloud       store.Call
	Agent       AgentCall
	Gossip      func(peer string, line []byte) // line is one encoded message and may be dropped
	WallClockMs func() int64                   // time of day in ms; if nil, the loop's time is used
}

// withErrorCounting returns a copy of the transport that counts refused calls.
func (t Transport) withErrorCounting(counter *callerrors.Counter) Transport {
	counting := t
	counting.Store = countCallErrors(counter, callerrors.Store, t.Store)
	counting.Watch = countCallErrors(counter, callerrors.Store, t.Watch)
	counting.Cloud = countCallErrors(counter, callerrors.Cloud, t.Cloud)
	counting.Agent = func(request agent.Request, done func(int, []byte, error)) {
		t.Agent(request, countAnswer(counter, callerrors.AgentCalls, request.Method, request.Target, done))
	}
	return counting
}

// countCallErrors wraps a call so that counter counts its refusals for a party.
func countCallErrors(counter *callerrors.Counter, party callerrors.Party, call store.Call) store.Call {
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		call(method, target, body, timeout, countAnswer(counter, party, method, target, done))
	}
}

// countAnswer wraps the callback of a call so that counter counts a refusal for a party.
func countAnswer(
	counter *callerrors.Counter, party callerrors.Party, method, target string, done func(int, []byte, error),
) func(int, []byte, error) {
	return func(status int, answer []byte, err error) {
		counter.Note(party, method, target, status, answer)
		done(status, answer, err)
	}
}
