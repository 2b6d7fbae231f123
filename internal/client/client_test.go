package client

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
)

// fake is a client with controllers that follow a script, on a clock of its own.
func fake(script string) (*Client, *[]string) {
	var log []string
	now := time.Unix(0, 0)
	left := strings.Fields(script)
	c := New([]string{"a:1", "b:1"}, time.Minute)
	c.Now = func() time.Time { return now }
	c.Sleep = func(d time.Duration) {
		log = append(log, fmt.Sprintf("sleep %g", d.Seconds()))
		now = now.Add(d)
	}
	c.Do = func(server, method, target string, _ []byte) (*http1.Message, error) {
		what := "refused"
		if len(left) > 0 {
			what, left = left[0], left[1:]
		}
		log = append(log, server[:1]+" "+what)
		var status, after int
		if n, _ := fmt.Sscanf(what, "%d/%d", &status, &after); n == 0 {
			return nil, errors.New(what)
		}
		return &http1.Message{Status: status, RetryAfter: after}, nil
	}
	return c, &log
}

func TestCall(t *testing.T) {
	for script, want := range map[string]string{
		"200":                        "a 200",
		"refused 201":                "a refused, b 201",
		"refused timeout 200":        "a refused, b timeout, sleep 1, a 200",
		"503/7 200":                  "a 503/7, sleep 7, b 200",
		"429/900 200":                "a 429/900, sleep 30, b 200",
		"503 503 404":                "a 503, sleep 1, b 503, sleep 1, a 404",
		"504/2 refused refused 409":  "a 504/2, sleep 2, b refused, a refused, sleep 1, b 409",
		"503/30 503/30 503/30 503/1": "a 503/30, sleep 30, b 503/30",
	} {
		c, log := fake(script)
		ans, err := c.Call("GET", "/x", nil)
		if got := strings.Join(*log, ", "); got != want {
			t.Errorf("%s: %s, not %s", script, got, want)
		}
		if (err != nil) != (ans == nil) || err != nil && !errors.Is(err, ErrUnreachable) {
			t.Errorf("%s: %v %v", script, ans, err)
		}
	}
	c, log := fake("")
	_, err := c.Call("GET", "/x", nil)
	if !errors.Is(err, ErrUnreachable) || len(*log) > 200 || !strings.Contains(err.Error(), "a:1: refused; b:1: refused") {
		t.Errorf("%v after %d steps", err, len(*log))
	}
	// The one that answered last is asked first.
	c, log = fake("refused 200 200")
	for range 2 {
		if _, err := c.Call("GET", "/x", nil); err != nil {
			t.Error(err)
		}
	}
	if got := strings.Join(*log, ", "); got != "a refused, b 200, b 200" {
		t.Error(got)
	}
}

func TestAddresses(t *testing.T) {
	if got, err := Addresses(" a:1, ops.example.org:80 ,"); err != nil || len(got) != 2 || got[1] != "ops.example.org:80" {
		t.Error(got, err)
	}
	for _, bad := range []string{"", ",", "a", "a:"} {
		if _, err := Addresses(bad); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}
