package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/settings"
)

// Limits of the protocol that are no settings.
const (
	maxBodyBytes        = 64 << 10  // bytes of a request, and of a line of an answer
	maxKeyBytes         = 200       // bytes
	conditionsPerChange = 4         // conditions for each change that a transaction may have
	maxListItems        = 1000      // of one answer
	maxListBytes        = 512 << 10 // of one answer
	minLeaseTTLMs       = 100       // ms
	maxLeaseTTLMs       = 600_000   // ms
	maxWatchHoldMs      = 60_000    // ms
	keptChanges         = 10_000    // for watches
	maxRentedAtOnce     = 50        // machines of a request
	maxDeletedAtOnce    = 100       // machines of a request
	maxMachinePage      = 500       // machines of a page
)

// LimitBroken notes a request or an answer that the protocol forbids: a correct program
// never makes it, so it fails the scenario as a broken rule does.
func (sim *Simulator) LimitBroken(format string, args ...any) {
	sim.Breaches++
	sim.RuleBroken("limit: "+format, args...)
}

// Enforce has the other services keep the limits that the settings state.
func (sim *Simulator) Enforce(c settings.Cluster) {
	sim.Store.ValueKB, sim.Store.TxnOps = c.State.ValueKB, c.State.TxnOps
	sim.Store.RPS, sim.Store.WPS = c.State.RPS, c.State.WriteRPS
	sim.Cloud.RPS = c.Cloud.RPS
}

// transaction is a transaction.
type transaction struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"stamp"`
	} `json:"if"`
	Writes []change `json:"writes"`
}

// change is one write or removal of a transaction.
type change struct {
	Write   string          `json:"write"`
	Remove  string          `json:"remove"`
	Value   json.RawMessage `json:"v"`
	LeaseID uint64          `json:"hold"`
}

// malformed tells why the state service answers a request 400, "" if it does not.
func (s *Store) malformed(method, path string, q url.Values, body []byte) string {
	if len(body) > maxBodyBytes {
		return fmt.Sprintf("%d bytes", len(body))
	}
	key, one := strings.CutPrefix(path, "/store/")
	_, aboutLease := leaseIDOf(path)
	switch call := method + " " + path; {
	case call == "GET /follow":
		return numberFault(q, "hold_ms", 0, maxWatchHoldMs)
	case call == "GET /store":
		return numberFault(q, "limit", 1, maxListItems)
	case method == "GET" && one:
		return keyFault(key)
	case call == "POST /multi":
		return s.transactionFault(body)
	case call == "POST /grants":
		return ttlFault(ttlOf(body))
	case aboutLease && (method == "DELETE" || method == "POST" && strings.HasSuffix(path, "/renew")):
		return ""
	}
	return "no such call"
}

// numberFault tells what is wrong with a parameter that is a number, "" if it is missing
// or within its limits.
func numberFault(q url.Values, field string, low, high int) string {
	v := q.Get(field)
	if v == "" {
		return ""
	}
	if n, err := strconv.Atoi(v); err != nil || n < low || n > high {
		return field + " is " + v
	}
	return ""
}

// ttlFault tells what is wrong with the time of a lease in ms.
func ttlFault(ttl int) string {
	if ttl < minLeaseTTLMs || ttl > maxLeaseTTLMs {
		return fmt.Sprintf("ttl_ms is %d", ttl)
	}
	return ""
}

// ttlOf is the requested time of a lease in ms, 0 if there is none.
func ttlOf(body []byte) int {
	var g struct {
		TTL int `json:"ttl_ms"`
	}
	_ = json.Unmarshal(body, &g)
	return g.TTL
}

// leaseIDOf is the lease that a path is about.
func leaseIDOf(path string) (uint64, bool) {
	rest, ok := strings.CutPrefix(path, "/grants/")
	id, err := strconv.ParseUint(strings.TrimSuffix(rest, "/renew"), 10, 64)
	return id, ok && err == nil
}

func keyFault(key string) string {
	if len(key) == 0 || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return fmt.Sprintf("key %q", key)
	}
	return ""
}

// transactionFault tells what limit a transaction passes.
func (s *Store) transactionFault(body []byte) string {
	var t transaction
	if err := json.Unmarshal(body, &t); err != nil {
		return err.Error()
	}
	if s.TxnOps > 0 && len(t.Writes) > s.TxnOps {
		return fmt.Sprintf("%d changes", len(t.Writes))
	}
	if s.TxnOps > 0 && len(t.Conditions) > conditionsPerChange*s.TxnOps {
		return fmt.Sprintf("%d conditions with %d changes", len(t.Conditions), len(t.Writes))
	}
	for _, c := range t.Conditions {
		if why := keyFault(c.Key); why != "" {
			return why
		}
	}
	for _, change := range t.Writes {
		if why := s.changeFault(change); why != "" {
			return why
		}
	}
	return ""
}

// changeFault tells what limit a change of a transaction passes.
func (s *Store) changeFault(c change) string {
	switch {
	case (c.Write == "") == (c.Remove == ""):
		return "a change that neither writes nor removes, or does both"
	case keyFault(c.Write+c.Remove) != "":
		return keyFault(c.Write + c.Remove)
	case c.Write != "" && len(c.Value) == 0:
		return "no value for " + c.Write
	case s.ValueKB > 0 && float64(len(c.Value)) > s.ValueKB*1024:
		return fmt.Sprintf("%d bytes in %s", len(c.Value), c.Write)
	case c.LeaseID > s.lastLeaseID:
		return fmt.Sprintf("lease %d was never given", c.LeaseID)
	}
	return ""
}

// CheckRefused holds against the controllers that run what they were refused, or could
// not commit, and a correct program never asks for.
func (sim *Simulator) CheckRefused() {
	for _, name := range sim.NodeNames {
		if node := sim.Nodes[name]; node.alive && node.controller.ProtocolErrors() > 0 {
			sim.LimitBroken(
				"%s counts %d calls or decisions refused that it should not have made",
				name,
				node.controller.ProtocolErrors(),
			)
		}
	}
}

// commandsFault tells what is wrong with commands, "" if nothing is.
func commandsFault(commands []command) string {
	for _, o := range commands {
		_, _, ok := jobs.SplitTaskID(o.TaskID)
		if !ok || o.Attempt == 0 || o.Verb != "launch" && o.Verb != "stop" && o.Verb != "reap" {
			return fmt.Sprintf("order %+v", o)
		}
	}
	return ""
}

// checkAnswer holds an answer to a report against the protocol; fencingToken is the
// highest that the agent had seen when it reported.
func (ag *Agent) checkAnswer(node string, status int, body []byte, fencingToken uint64) {
	ag.sim.checkLines(node, body)
	var r struct {
		FencingToken *uint64   `json:"baton"`
		Commands     []command `json:"orders"`
	}
	switch status {
	case 421, 503:
	case 200:
		if json.Unmarshal(body, &r) != nil || r.FencingToken == nil || *r.FencingToken < fencingToken {
			ag.sim.LimitBroken(
				"%s answers %s's report under baton %d with 200 and %.80s",
				node,
				ag.machine.ID,
				fencingToken,
				body,
			)
		}
		if why := commandsFault(r.Commands); why != "" {
			ag.sim.LimitBroken("%s sends %s %s", node, ag.machine.ID, why)
		}
	default:
		ag.sim.LimitBroken("%s answers %s's report with %d", node, ag.machine.ID, status)
	}
}

// checkLines holds an answer to agents or users against the limit of its lines.
func (sim *Simulator) checkLines(node string, body []byte) {
	for _, line := range bytes.Split(body, []byte("\n")) {
		if len(line) > maxBodyBytes {
			sim.LimitBroken("%s answers with a line of %d bytes", node, len(line))
		}
	}
}

// userMay tells which answers a user's request has by the protocol. An operator's or
// a run's requests are this project's own.
func userStatusAllowed(method, target string, status int) bool {
	switch status {
	case 200, 429, 503, 504:
		return true
	case 201, 400, 422:
		return method == "POST" && target == "/work"
	case 404:
		return target != "/work" && target != "/up"
	}
	return false
}

// poisoned tells whether a transaction is one that the service is to refuse.
func (s *Store) poisoned(t *transaction) bool {
	if s.Poison == "" {
		return false
	}
	for _, wr := range t.Writes {
		key := wr.Write + wr.Remove
		if !strings.HasPrefix(key, jobs.JobPrefix) && strings.Contains(key+string(wr.Value), s.Poison) {
			return true
		}
	}
	return false
}

// malformed tells why the cloud answers a request 400, "" if it does not.
func (c *Cloud) malformed(method, path string, q url.Values, body []byte) string {
	switch {
	case len(body) > maxBodyBytes:
		return fmt.Sprintf("%d bytes", len(body))
	case method == "GET" && path == "/catalog":
		return ""
	case method == "GET" && path == "/hosts":
		return numberFault(q, "limit", 1, maxMachinePage)
	case method == "POST" && path == "/hosts/delete":
		return deletionFault(body)
	case method == "POST" && path == "/hosts":
		return rentalFault(body)
	}
	return "no such call"
}

// deletionFault tells what is wrong with a request to delete machines.
func deletionFault(body []byte) string {
	var d machineDeletion
	if json.Unmarshal(body, &d) != nil || len(d.Machines) == 0 || len(d.Machines) > maxDeletedAtOnce {
		return fmt.Sprintf("%d names", len(d.Machines))
	}
	return ""
}

// rentalFault tells what is wrong with a request for machines.
func rentalFault(body []byte) string {
	var r rental
	if json.Unmarshal(body, &r) != nil || r.Name == "" || r.Count < 1 || r.Count > maxRentedAtOnce {
		return fmt.Sprintf("%d machines as %q", r.Count, r.Name)
	}
	for _, b := range machineTypes {
		if zones, ok := b["sites"].([]string); ok && b["name"] == r.MachineType && slices.Contains(zones, r.Zone) {
			return ""
		}
	}
	return fmt.Sprintf("no type %q in %q", r.MachineType, r.Zone)
}
