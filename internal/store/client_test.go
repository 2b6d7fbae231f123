package store

import (
	"errors"
	"testing"
	"time"
)

func TestCommitClassifiesAnswers(t *testing.T) {
	tests := []struct {
		name   string
		status int
		err    error
		want   error
	}{
		{name: "committed", status: 200},
		{name: "precondition failed", status: 409, want: ErrConflict},
		{name: "key absent", status: 404, want: ErrGone},
		{name: "lease expired", status: 410, want: ErrGone},
		{name: "service down", status: 503, want: ErrUnavailable},
		{name: "rate limited", status: 429, want: ErrUnavailable},
		{name: "malformed request", status: 400, want: ErrRefused},
		{name: "connection lost", err: errors.New("cut"), want: ErrNoAnswer},
	}
	var status int
	var callErr error
	call := func(_, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		done(status, []byte(`{"failed":["k"],"epoch":3}`), callErr)
	}
	c := New(call, call)
	c.SetBudget(1000, 1000, 1000)
	c.Dispatch(time.Unix(0, 0))
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, callErr = test.status, test.err
			c.Commit(PriorityDecision, Txn{}, func(_ uint64, _ []string, got error) {
				if !errors.Is(got, test.want) {
					t.Errorf("answer %d, %v: got %v, want %v", test.status, test.err, got, test.want)
				}
			})
		})
	}
}
