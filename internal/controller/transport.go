package controller

import (
	"time"

	"github.com/harrierreel/harrierreel/internal/callerrors"
	"github.com/harrierreel/harrierreel/internal/store"
)

// Transport is everything a node can reach. Answers come back on the loop,
// through Run.
type Transport struct {
	State       store.Call
	Watch       store.Call
	Cloud       store.Call
	Worker      func(endpoint, method, target string, body []byte, timeout time.Duration, done func(status int, body []byte, err error))
	Gossip      func(peer string, line []byte)
	WallClockMs func() int64 // time of day in ms; nil: that of the loop
}

// countingErrors is the same with all answers that are refusals counted.
func (t Transport) countingErrors(counter *callerrors.Counter) Transport {
	wrap := func(party callerrors.Party, call store.Call) store.Call {
		return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
			call(method, target, body, timeout, func(status int, answer []byte, err error) {
				counter.Note(party, method, target, status, answer)
				done(status, answer, err)
			})
		}
	}
	worker := t.Worker
	t.State, t.Watch, t.Cloud = wrap(callerrors.State, t.State), wrap(callerrors.State, t.Watch), wrap(callerrors.Cloud, t.Cloud)
	t.Worker = func(endpoint, method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		worker(endpoint, method, target, body, timeout, func(status int, answer []byte, err error) {
			counter.Note(callerrors.Worker, method, target, status, answer)
			done(status, answer, err)
		})
	}
	return t
}
