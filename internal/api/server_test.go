package api

import (
	"strings"
	"testing"
)

// Each kind of request gets the expected status, and the body of a refusal gives the reason.
func TestRequestStatuses(t *testing.T) {
	with := func(old, replacement string) string { return strings.Replace(pipeline, old, replacement, 1) }
	negativeCores := with(`"cores":1,`, `"cores":-1,"speed":2,`)
	tooManyCores := with(`"cores":1`, `"cores":100`)
	unknownTeam := with(`"owner":"team"`, `"owner":"nobody"`)
	unknownQuota := `{"base":1,"quotas":{"teams":[{"name":"nobody"}]}}`
	for _, c := range []struct {
		name                 string
		optional, ready      bool
		method, target, body string
		wantStatus           int
		wantText             string
	}{
		{"pipelines disabled", false, true, "POST", "/pipelines", pipeline, 404, ""},
		{"quotas disabled", false, true, "GET", "/quota", "", 404, ""},
		{"heartbeat is forwarded", false, true, "POST", "/agent/beat", "", 299, ""},
		{"wrong method for runs", true, true, "GET", "/pipelines", "", 405, ""},
		{"run that is not JSON", true, true, "POST", "/pipelines", "nonsense", 400, "body"},
		{"run with unknown field", true, true, "POST", "/pipelines", negativeCores, 400, `"path":"steps[0].speed"`},
		{"run that fits no machine", true, true, "POST", "/pipelines", tooManyCores, 422, `"path":"steps[0]"`},
		{"run of unknown team", true, true, "POST", "/pipelines", unknownTeam, 422, "unknown team"},
		{"run while not ready", true, false, "POST", "/pipelines", pipeline, 503, ""},
		{"unknown run", true, true, "GET", "/pipelines/run-9", "", 404, "no such run"},
		{"unknown run cancelled", true, true, "POST", "/pipelines/run-9/abort", "", 404, ""},
		{"invalid run ID", true, true, "GET", "/pipelines/RUN/explain", "", 404, ""},
		{"unknown action", true, true, "GET", "/pipelines/run-9/nonsense", "", 404, ""},
		{"run cancelled while not ready", true, false, "POST", "/pipelines/run-9/abort", "", 503, ""},
		{"quota of unknown team", true, true, "POST", "/quota", unknownQuota, 400, "no team is called"},
		{"quota with unknown field", true, true, "POST", "/quota", `{"base":1,"quotas":{"speed":1}}`, 400, "speed"},
		{"wrong method for jobs", true, true, "DELETE", "/work", "", 405, ""},
		{"healthy", true, true, "GET", "/up", "", 200, ""},
		{"unhealthy", true, false, "GET", "/up", "", 503, ""},
		{"unknown path", true, true, "GET", "/nowhere", "", 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestServer(t, c.optional)
			server.fake.ready = c.ready
			reply := server.request(c.method, c.target, c.body)
			if reply.Status != c.wantStatus || !strings.Contains(string(reply.Body), c.wantText) ||
				c.wantStatus == 503 && reply.RetryAfter == 0 {
				t.Errorf("%d %s, retry after %v", reply.Status, reply.Body, reply.RetryAfter)
			}
		})
	}
}
