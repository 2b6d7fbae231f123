package api

import (
	"strings"
	"testing"
)

func TestRequestsAreRefusedWithTheirStatus(t *testing.T) {
	for _, c := range []struct {
		on, able             bool
		method, target, body string
		status               int
		says                 string
	}{
		{false, true, "POST", "/pipelines", pipeline, 404, ""},
		{false, true, "GET", "/quota", "", 404, ""},
		{false, true, "POST", "/agent/beat", "", 299, ""},
		{true, true, "GET", "/pipelines", "", 405, ""},
		{true, true, "POST", "/pipelines", "nonsense", 400, "body"},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"cores":1,`, `"cores":-1,"speed":2,`, 1), 400, `"path":"steps[0].speed"`},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"cores":1`, `"cores":100`, 1), 422, `"path":"steps[0]"`},
		{true, true, "POST", "/pipelines", strings.Replace(pipeline, `"owner":"team"`, `"owner":"nobody"`, 1), 422, "unknown team"},
		{true, false, "POST", "/pipelines", pipeline, 503, ""},
		{true, true, "GET", "/pipelines/run-9", "", 404, "no such run"},
		{true, true, "POST", "/pipelines/run-9/abort", "", 404, ""},
		{true, true, "GET", "/pipelines/RUN/explain", "", 404, ""},
		{true, true, "GET", "/pipelines/run-9/nonsense", "", 404, ""},
		{true, false, "POST", "/pipelines/run-9/abort", "", 503, ""},
		{true, true, "POST", "/quota", `{"base":1,"quotas":{"teams":[{"name":"nobody"}]}}`, 400, "no team is called"},
		{true, true, "POST", "/quota", `{"base":1,"quotas":{"speed":1}}`, 400, "speed"},
		{true, true, "DELETE", "/work", "", 405, ""},
		{true, true, "GET", "/up", "", 200, ""},
		{true, false, "GET", "/up", "", 503, ""},
		{true, true, "GET", "/nowhere", "", 404, ""},
	} {
		server := newTestServer(t, c.on)
		server.fake.able = c.able
		r := server.request(c.method, c.target, c.body)
		if r.Status != c.status || !strings.Contains(string(r.Body), c.says) || c.status == 503 && r.RetryAfter == 0 {
			t.Errorf("%s %s able %v: %d %s", c.method, c.target, c.able, r.Status, r.Body)
		}
	}
}
