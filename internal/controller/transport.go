package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/store"
)

// AgentCall sends one HTTP request to the agent at endpoint and calls done later, on the loop.
type AgentCall func(endpoint, method, target string, body []byte, timeout time.Duration,
	done func(status int, body []byte, err error))

// Transport is everything a controller can reach. Answers come back on the loop,
// through Run.
type Transport struct {
	Store       store.Call
	Watch       store.Call // of its own, since a watch is held open and must not hold up other calls
	Cloud       store.Call
	Agent       AgentCall
	Gossip      func(peer string, line []byte) // line is whole and may be dropped
	WallClockMs func() int64                   // time of day in ms; nil: that of the loop
}

// countingErrors is the same transport with all answers that are refusals counted.
func (t Transport) countingErrors(counter *callerrors.Counter) Transport {
	counted := t
	counted.Store = countCallErrors(counter, callerrors.Store, t.Store)
	counted.Watch = countCallErrors(counter, callerrors.Store, t.Watch)
	counted.Cloud = countCallErrors(counter, callerrors.Cloud, t.Cloud)
	counted.Agent = func(endpoint, method, target string, body []byte, timeout time.Duration,
		done func(int, []byte, error),
	) {
		call := func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			t.Agent(endpoint, method, target, body, timeout, done)
		}
		countCallErrors(counter, callerrors.AgentCalls, call)(method, target, body, timeout, done)
	}
	return counted
}

// countCallErrors is a call whose refusals are counted as the party's.
func countCallErrors(counter *callerrors.Counter, party callerrors.Party, call store.Call) store.Call {
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		call(method, target, body, timeout, func(status int, answer []byte, err error) {
			counter.Note(party, method, target, status, answer)
			done(status, answer, err)
		})
	}
}
