package client

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/http1"
)

// scriptedClient returns a client with a fake clock and two controllers that respond as a script
// says. An element of the script is STATUS/RETRY_AFTER, STATUS, or the text of a network error.
// The log holds the response to each request and each pause.
func scriptedClient(t *testing.T, script string) (*Client, *[]string) {
	t.Helper()
	var log []string
	now := time.Unix(0, 0)
	responses := strings.Fields(script)
	c := New([]string{"a:1", "b:1"}, time.Minute)
	c.Now = func() time.Time { return now }
	c.Sleep = func(d time.Duration) {
		log = append(log, fmt.Sprintf("sleep %g", d.Seconds()))
		now = now.Add(d)
	}
	c.Do = func(server, method, target string, _ []byte) (*http1.Message, error) {
		response := "refused"
		if len(responses) > 0 {
			response, responses = responses[0], responses[1:]
		}
		log = append(log, server[:1]+" "+response)
		var status, retryAfter int
		if n, _ := fmt.Sscanf(response, "%d/%d", &status, &retryAfter); n == 0 {
			return nil, errors.New(response)
		}
		return &http1.Message{Status: status, RetryAfter: retryAfter}, nil
	}
	return c, &log
}

func TestCallRetriesUntilFinalResponse(t *testing.T) {
	for _, test := range []struct {
		name, script, want string
	}{
		{"first response is final", "200", "a 200"},
		{"one connection refused", "refused 201", "a refused, b 201"},
		{"no response from any server", "refused timeout 200", "a refused, b timeout, sleep 1, a 200"},
		{"pause as requested", "503/7 200", "a 503/7, sleep 7, b 200"},
		{"pause above the maximum", "429/900 200", "a 429/900, sleep 30, b 200"},
		{"no pause requested", "503 503 404", "a 503, sleep 1, b 503, sleep 1, a 404"},
		{"status and network errors", "504/2 refused refused 409", "a 504/2, sleep 2, b refused, a refused, sleep 1, b 409"},
		{"patience exceeded", "503/30 503/30 503/30 503/1", "a 503/30, sleep 30, b 503/30"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, log := scriptedClient(t, test.script)
			response, err := c.Call("GET", "/x", nil)
			if got := strings.Join(*log, ", "); got != test.want {
				t.Errorf("script %q: got %s, want %s", test.script, got, test.want)
			}
			if (err != nil) != (response == nil) || err != nil && !errors.Is(err, ErrUnreachable) {
				t.Errorf("script %q: response %v, error %v", test.script, response, err)
			}
		})
	}
	t.Run("no server ever responds", func(t *testing.T) {
		c, log := scriptedClient(t, "")
		_, err := c.Call("GET", "/x", nil)
		if !errors.Is(err, ErrUnreachable) || len(*log) > 200 ||
			!strings.Contains(err.Error(), "a:1: refused; b:1: refused") {
			t.Errorf("error %v after %d log entries", err, len(*log))
		}
	})
	t.Run("last server to respond is tried first", func(t *testing.T) {
		c, log := scriptedClient(t, "refused 200 200")
		for range 2 {
			if _, err := c.Call("GET", "/x", nil); err != nil {
				t.Error(err)
			}
		}
		if got := strings.Join(*log, ", "); got != "a refused, b 200, b 200" {
			t.Error(got)
		}
	})
}

func TestAddressesRequirePorts(t *testing.T) {
	got, err := Addresses(" a:1, ops.example.org:80 ,")
	if err != nil || len(got) != 2 || got[1] != "ops.example.org:80" {
		t.Error(got, err)
	}
	for name, bad := range map[string]string{
		"empty":        "",
		"only a comma": ",",
		"no port":      "a",
		"empty port":   "a:",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Addresses(bad); err == nil {
				t.Errorf("%q was accepted", bad)
			}
		})
	}
}
