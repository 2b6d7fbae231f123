package api

import (
	"strings"
	"testing"
)

// Each kind of request is answered with its status, and a refusal says what is wrong.
func TestRequestsAreRefusedWithTheirStatus(t *testing.T) {
	with := func(old, replacement string) string { return strings.Replace(pipeline, old, replacement, 1) }
	negativeCores := with(`"cores":1,`, `"cores":-1,"speed":2,`)
	tooManyCores := with(`"cores":1`, `"cores":100`)
	unknownTeam := with(`"owner":"team"`, `"owner":"nobody"`)
	unknownQuota := `{"base":1,"quotas":{"teams":[{"name":"nobody"}]}}`
	for _, c := range []struct {
		name                 string
		optional, able       bool
		method, target, body string
		status               int
		says                 string
	}{
		{"no pipelines", false, true, "POST", "/pipelines", pipeline, 404, ""},
		{"no quotas", false, true, "GET", "/quota", "", 404, ""},
		{"heartbeat passed on", false, true, "POST", "/agent/beat", "", 299, ""},
		{"runs by another method", true, true, "GET", "/pipelines", "", 405, ""},
		{"run that is no JSON", true, true, "POST", "/pipelines", "nonsense", 400, "body"},
		{"run with unknown field", true, true, "POST", "/pipelines", negativeCores, 400, `"path":"steps[0].speed"`},
		{"run that fits no machine", true, true, "POST", "/pipelines", tooManyCores, 422, `"path":"steps[0]"`},
		{"run of unknown team", true, true, "POST", "/pipelines", unknownTeam, 422, "unknown team"},
		{"run while unable", true, false, "POST", "/pipelines", pipeline, 503, ""},
		{"unknown run", true, true, "GET", "/pipelines/run-9", "", 404, "no such run"},
		{"unknown run cancelled", true, true, "POST", "/pipelines/run-9/abort", "", 404, ""},
		{"invalid run ID", true, true, "GET", "/pipelines/RUN/explain", "", 404, ""},
		{"unknown verb", true, true, "GET", "/pipelines/run-9/nonsense", "", 404, ""},
		{"run cancelled while unable", true, false, "POST", "/pipelines/run-9/abort", "", 503, ""},
		{"quota of unknown team", true, true, "POST", "/quota", unknownQuota, 400, "no team is called"},
		{"quota with unknown field", true, true, "POST", "/quota", `{"base":1,"quotas":{"speed":1}}`, 400, "speed"},
		{"jobs by another method", true, true, "DELETE", "/work", "", 405, ""},
		{"healthy", true, true, "GET", "/up", "", 200, ""},
		{"unhealthy", true, false, "GET", "/up", "", 503, ""},
		{"unknown path", true, true, "GET", "/nowhere", "", 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, c.optional)
			server.fake.able = c.able
			reply := server.request(c.method, c.target, c.body)
			if reply.Status != c.status || !strings.Contains(string(reply.Body), c.says) ||
				c.status == 503 && reply.RetryAfter == 0 {
				t.Errorf("%d %s, retry after %v", reply.Status, reply.Body, reply.RetryAfter)
			}
		})
	}
}
