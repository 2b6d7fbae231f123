package api

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// wholeJob is a submission with nothing wrong but what changes.
func wholeJob(change func(map[string]any)) string {
	m := map[string]any{
		"uid":          "wk-1",
		"jobclass":     "c",
		"owner":        "team",
		"shape":        "sweep",
		"rank":         "standard",
		"pieces":       1,
		"cores":        1,
		"accelerators": 1,
		"memory_gb":    1,
		"bundle":       "b",
		"pull_gb":      1,
		"same_place":   false,
		"scatter":      false,
		"loaner":       false,
		"expect_s":     1,
		"snapshot_s":   0,
		"stash_s":      0,
	}
	change(m)
	b, _ := json.Marshal(m)
	return string(b)
}

// Odd requests are answered as the protocol says, as often as they come, and change nothing
// in the state service: what lacks a field costs no call, what can't run only reads.
func TestOddRequestsChangeNothing(t *testing.T) {
	const done = `{"key":"final/wk-1","v":{"s":"done","n":1},"stamp":6}`
	live := fmt.Sprintf(`{"key":"job/wk-1","v":{"s":"live","spec":%s},"stamp":5}`, wholeJob(func(map[string]any) {}))
	type odd struct {
		target, body string
		records      map[string]string // in the state service
		status       int
		says         string
		calls        int // each time, at most
	}
	odds := map[string]odd{
		"no type": {
			"/work",
			wholeJob(func(m map[string]any) { m["builds"] = []string{"g9"} }),
			nil,
			422,
			"fits no allowed machine type",
			2,
		},
		"no such zone": {
			"/work",
			wholeJob(func(m map[string]any) { m["site"] = "z" }),
			nil,
			422,
			"fits no allowed machine type",
			2,
		},
		"too large": {
			"/work",
			wholeJob(func(m map[string]any) { m["memory_gb"] = 65 }),
			nil,
			422,
			"fits no allowed machine type",
			2,
		},
		"over its team": {
			"/work",
			wholeJob(func(m map[string]any) { m["shape"], m["pieces"] = "ensemble", 5 }),
			nil,
			422,
			"team's limit",
			2,
		},
		"no such team": {"/work", wholeJob(func(m map[string]any) { m["owner"] = "x" }), nil, 422, "unknown team", 2},
		// Accepted while it could run; what made it so has changed.
		"accepted, done": {
			"/work",
			wholeJob(func(m map[string]any) { m["owner"] = "x" }),
			map[string]string{"final/wk-1": done},
			200,
			"done",
			2,
		},
		"accepted, live": {
			"/work",
			wholeJob(func(m map[string]any) { m["owner"] = "x" }),
			map[string]string{"job/wk-1": live},
			200,
			"pending",
			1,
		},
		"cancelled, done": {"/work/wk-1/abort", "", map[string]string{"final/wk-1": done}, 200, `"done"`, 2},
	}
	for _, f := range []string{"uid", "jobclass", "owner", "shape", "rank", "pieces", "cores", "accelerators", "memory_gb", "bundle", "pull_gb", "same_place", "scatter", "loaner", "expect_s", "snapshot_s", "stash_s"} {
		odds["lacks "+f] = odd{"/work", wholeJob(func(m map[string]any) { delete(m, f) }), nil, 400, f + ": is missing", 0}
		odds["null "+f] = odd{"/work", wholeJob(func(m map[string]any) { m[f] = nil }), nil, 400, f + ": is missing", 0}
	}
	for name, c := range odds {
		server := newTestServer(t, false)
		server.store = func(method, target, _ string) (int, string) {
			if v := c.records[strings.TrimPrefix(target, "/store/")]; method == "GET" && v != "" {
				return 200, v
			}
			return 404, `{"epoch":7}`
		}
		for range 3 {
			server.calls = nil
			r := server.request("POST", c.target, c.body)
			if r.Status != c.status || !strings.Contains(string(r.Body), c.says) {
				t.Errorf("%s: %d %s", name, r.Status, r.Body)
			}
			if len(server.calls) > c.calls ||
				slices.ContainsFunc(server.calls, func(call string) bool { return !strings.HasPrefix(call, "GET ") }) {
				t.Errorf("%s calls %v", name, server.calls)
			}
		}
	}
	// Fields that may be null may be missing.
	server := newTestServer(t, false)
	server.store = func(string, string, string) (int, string) { return 200, `{"epoch":8}` }
	if r := server.request("POST", "/work", wholeJob(func(map[string]any) {})); r.Status != 201 {
		t.Errorf("whole: %d %s", r.Status, r.Body)
	}
}
