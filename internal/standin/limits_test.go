package standin

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/harrierreel/harrierreel/internal/settings"
)

// small is a world whose services keep small limits.
func small() *World {
	w := NewWorld(1, slog.New(slog.DiscardHandler))
	w.Enforce(settings.Cluster{State: settings.State{RPS: 1e6, WriteRPS: 1e6, ValueKB: 1, TxnOps: 4}, Cloud: settings.Cloud{RPS: 2}, Limits: settings.Limits{}})
	return w
}

// ask has a service answer at once.
func ask(serve func(method, target string, body []byte, answer func(int, []byte)), method, target, body string) (status int, answer string) {
	serve(method, target, []byte(body), func(s int, b []byte) { status, answer = s, string(b) })
	return status, answer
}

func list(count int, item func(i int) string) string {
	var out []string
	for i := range count {
		out = append(out, item(i))
	}
	return "[" + strings.Join(out, ",") + "]"
}

// TestTxnLimits: each limit of the state service refuses what passes it and takes what
// just keeps it, and a refusal is a broken rule.
func TestTxnLimits(t *testing.T) {
	put := func(key string, bytes int) string {
		return fmt.Sprintf(`{"write":%q,"v":"%s"}`, key, strings.Repeat("x", bytes-2))
	}
	txn := func(conds, writes, bytes int) string {
		return fmt.Sprintf(`{"if":%s,"writes":%s}`, list(conds, func(i int) string { return fmt.Sprintf(`{"key":"c/%d","stamp":0}`, i) }),
			list(writes, func(i int) string { return put(fmt.Sprint("k/", i), bytes) }))
	}
	key := func(length int) string { return strings.Repeat("k", length) }
	for name, c := range map[string]struct {
		method, target, body string
		fits                 bool
	}{
		"changes":           {"POST", "/multi", txn(0, 4, 10), true},
		"too many changes":  {"POST", "/multi", txn(0, 5, 10), false},
		"conditions":        {"POST", "/multi", txn(16, 1, 10), true},
		"too many":          {"POST", "/multi", txn(17, 1, 10), false},
		"value":             {"POST", "/multi", txn(0, 1, 1024), true},
		"large value":       {"POST", "/multi", txn(0, 1, 1025), false},
		"body":              {"POST", "/multi", `{"if":[]` + strings.Repeat(" ", 64<<10) + `}`, false},
		"not JSON":          {"POST", "/multi", `{"if":`, false},
		"key":               {"POST", "/multi", `{"writes":[` + put(key(200), 9) + `]}`, true},
		"long key":          {"POST", "/multi", `{"writes":[` + put(key(201), 9) + `]}`, false},
		"key with a space":  {"POST", "/multi", `{"writes":[` + put("a b", 9) + `]}`, false},
		"key of a read":     {"GET", "/store/" + key(201), "", false},
		"write and remove":  {"POST", "/multi", `{"writes":[{"write":"a","remove":"b","v":1}]}`, false},
		"neither":           {"POST", "/multi", `{"writes":[{"v":1}]}`, false},
		"no value":          {"POST", "/multi", `{"writes":[{"write":"a"}]}`, false},
		"never given lease": {"POST", "/multi", `{"writes":[{"write":"a","v":1,"hold":9}]}`, false},
		"page":              {"GET", "/store?prefix=&limit=1000", "", true},
		"large page":        {"GET", "/store?prefix=&limit=1001", "", false},
		"hold":              {"GET", "/follow?prefix=&since=0&hold_ms=60000", "", true},
		"long hold":         {"GET", "/follow?prefix=&since=0&hold_ms=60001", "", false},
		"lease":             {"POST", "/grants", `{"ttl_ms":100}`, true},
		"short lease":       {"POST", "/grants", `{"ttl_ms":99}`, false},
		"long lease":        {"POST", "/grants", `{"ttl_ms":600001}`, false},
		"no such call":      {"PUT", "/multi", `{}`, false},
	} {
		w := small()
		status, _ := ask(w.Store.Serve, c.method, c.target, c.body)
		if refused := status == 400; refused == c.fits || (w.Breaches == 0) != c.fits || len(w.Broken) != w.Breaches {
			t.Errorf("%s: status %d, %d broken", name, status, len(w.Broken))
		}
	}
}

// A lease that has ended is no fault of whoever still writes with it: it is told, and
// gets a new one.
func TestEndedLease(t *testing.T) {
	w := small()
	_, grant := ask(w.Store.Serve, "POST", "/grants", `{"ttl_ms":200}`)
	write := `{"writes":[{"write":"a","v":1,"hold":1}]}`
	if status, _ := ask(w.Store.Serve, "POST", "/multi", write); status != 200 || grant != `{"hold":1}` {
		t.Fatal(status, grant)
	}
	w.RunUntil(time.Second)
	status, why := ask(w.Store.Serve, "POST", "/multi", write)
	renewed, _ := ask(w.Store.Serve, "POST", "/grants/1/renew", "")
	if status != 400 || !strings.Contains(why, "no such lease") || renewed != 404 || w.Store.Count("a") != 0 || len(w.Broken) > 0 {
		t.Error(status, why, renewed, w.Broken)
	}
	_, grant = ask(w.Store.Serve, "POST", "/grants", `{"ttl_ms":200}`)
	if ended, _ := ask(w.Store.Serve, "DELETE", "/grants/2", ""); ended != 200 || grant != `{"hold":2}` {
		t.Error(ended, grant)
	}
}

// Watches of changes that are no longer kept are told so, and lists come in pages.
func TestForgottenChanges(t *testing.T) {
	w := small()
	for i := range 3 * keptChanges {
		w.Store.Put(fmt.Sprintf("k/%05d", i), `"`+strings.Repeat("x", 800)+`"`)
	}
	if status, _ := ask(w.Store.Serve, "GET", "/follow?since=1", ""); status != 410 {
		t.Error(status)
	}
	if status, _ := ask(w.Store.Serve, "GET", fmt.Sprintf("/follow?since=%d", 2*keptChanges), ""); status != 200 {
		t.Error(status)
	}
	_, page := ask(w.Store.Serve, "GET", "/store?prefix=k/&since=k/00007", "")
	var p struct {
		Rows    []storeItem
		HasNext bool `json:"has_next"`
	}
	if err := json.Unmarshal([]byte(page), &p); err != nil || !p.HasNext || len(p.Rows) > listItems || len(page) > listBytes || p.Rows[0].Key != "k/00008" {
		t.Error(err, p.HasNext, len(p.Rows), len(page))
	}
}
