package store

import (
	"errors"
	"testing"
	"time"
)

func TestOutcomes(t *testing.T) {
	status, err := 0, error(nil)
	call := func(_, _ string, _ []byte, _ time.Duration, done func(int, []byte, error)) {
		done(status, []byte(`{"failed":["k"],"epoch":3}`), err)
	}
	c := New(call, call)
	c.SetBudget(1000, 1000, 1000)
	c.Dispatch(time.Unix(0, 0))
	for _, x := range []struct {
		status int
		err    error
		want   error
	}{{200, nil, nil}, {409, nil, ErrConflict}, {503, nil, ErrUnavailable}, {429, nil, ErrUnavailable}, {400, nil, ErrRefused}, {0, errors.New("cut"), ErrNoAnswer}} {
		status, err = x.status, x.err
		c.Commit(PriorityDecision, Txn{}, func(_ uint64, _ []string, got error) {
			if !errors.Is(got, x.want) {
				t.Errorf("%d %v: %v", x.status, x.err, got)
			}
		})
	}
}
