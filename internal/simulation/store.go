package simulation

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/members"
)

// Store simulates the state service.
type Store struct {
	sim               *Simulator
	Down              bool
	RefusedNodes      map[string]bool // nodes whose requests get 503
	revision          uint64
	items             map[string]storeItem
	log               []storeEvent
	compactedRevision uint64 // changes up to this revision are no longer kept
	leases            map[uint64]*lease
	lastLeaseID       uint64
	watches           []*watchRequest
	Writes            int
	// LoseAnswers is, by node, the number of next transactions whose answers are dropped.
	// TransactionDelay delays a node's transactions.
	LoseAnswers map[string]int
	// commits counts the committed transactions of each node; commitsAtView is its state at the
	// last change of the view.
	commits, commitsAtView map[string]int
	// WatchDelay delays the answers to a node's watches.
	WatchDelay       map[string]time.Duration
	TransactionDelay map[string]time.Duration
	// RPS and WPS limit requests and writes per second, with bursts of one second's worth; an RPS
	// of 0 disables both. Refused counts the requests that exceeded a limit.
	RPS, WPS float64
	// ValueKB limits the size of a value, TxnOps the writes of a transaction; 0 disables the limit.
	ValueKB float64
	TxnOps  int
	// Poison is the ID of a job: transactions that write any key or value naming it, other than job
	// records, are refused for no reason in the protocol. Poisoned counts them.
	Poison string
	// FailPages makes each FailPages-th page of listings fail; 0 disables it.
	FailPages                 int
	pages                     int
	Listed                    int // pages that were answered
	Poisoned                  int
	requestTokens, writesUsed float64
	refilledAt                time.Time
	Refused                   int
	// ServiceTime delays every answer, for the whole simulation.
	ServiceTime time.Duration
	// Slow delays every answer besides; SlowWatch, if positive, replaces it for answers to watches.
	Slow, SlowWatch time.Duration
	slowShare       faultRate // share of answers that are delayed by up to maxSlow
	maxSlow         time.Duration
	// Committed, if set, is called for every write of a committed transaction, with a nil value for
	// a removal, and Settled after each transaction. Requests counts all requests received.
	Committed func(key string, v json.RawMessage)
	Settled   func()
	Requests  int
}

// allow reports whether the rate limits admit a request with that many writes, and charges it.
func (s *Store) allow(writes int) bool {
	if s.RPS == 0 {
		return true
	}
	if s.refilledAt.IsZero() {
		s.refilledAt, s.requestTokens, s.writesUsed = s.sim.Now, s.RPS, 0
	}
	dt := s.sim.Now.Sub(s.refilledAt).Seconds()
	s.refilledAt = s.sim.Now
	s.requestTokens = min(s.RPS, s.requestTokens+dt*s.RPS)
	s.writesUsed = max(0, s.writesUsed-dt*s.WPS)
	if s.requestTokens < 1 || writes > 0 && s.writesUsed+float64(writes) > s.WPS {
		s.Refused++
		return false
	}
	s.requestTokens--
	s.writesUsed += float64(writes)
	return true
}

// storeItem is a key with its value, revision and lease.
type storeItem struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"hold,omitempty"`
}

// storeEvent is a change as watches get it.
type storeEvent struct {
	Write    string          `json:"write,omitempty"`
	Remove   string          `json:"remove,omitempty"`
	Value    json.RawMessage `json:"v,omitempty"`
	Revision uint64          `json:"stamp"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// watchRequest is a watch without an answer so far.
type watchRequest struct {
	from      string
	since     uint64
	expiresAt time.Time
	answer    func(int, []byte)
}

func newStore(sim *Simulator) *Store {
	s := &Store{
		sim:              sim,
		RefusedNodes:     map[string]bool{},
		items:            map[string]storeItem{},
		leases:           map[uint64]*lease{},
		LoseAnswers:      map[string]int{},
		commits:          map[string]int{},
		commitsAtView:    map[string]int{},
		TransactionDelay: map[string]time.Duration{},
		WatchDelay:       map[string]time.Duration{},
	}
	var tick func()
	tick = func() {
		s.expireLeases()
		s.answerWatches()
		sim.After(50*time.Millisecond, tick)
	}
	sim.After(0, tick)
	return s
}

// SlowSome delays a share of the answers by up to longest, for the given duration. Each delay is
// drawn separately, so that answers to one controller may be reordered.
func (s *Store) SlowSome(share float64, longest, duration time.Duration) {
	s.slowShare, s.maxSlow = faultRate{share, s.sim.Now.Add(duration)}, longest
}

// SetDown starts or ends an outage. Its end restores the full TTL of every lease.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		for _, l := range s.leases {
			l.expiresAt = s.sim.Now.Add(l.ttl)
		}
	}
}

func (s *Store) expireLeases() {
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.sim.Now.After(s.leases[id].expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.LeaseID == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		s.revision++
	}
	for _, k := range keys {
		delete(s.items, k)
		s.appendEvent(storeEvent{Remove: k, Revision: s.revision})
	}
}

// answerWatches answers the watches for which there are changes or whose hold time has expired.
func (s *Store) answerWatches() {
	if s.Down {
		return
	}
	var remaining []*watchRequest
	for _, req := range s.watches {
		if s.RefusedNodes[req.from] || (s.revision <= req.since && s.sim.Now.Before(req.expiresAt)) {
			remaining = append(remaining, req)
			continue
		}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > req.since })
		events := s.log[first:]
		req.answer(200, encode(map[string]any{"epoch": s.revision, "events": events}))
	}
	s.watches = remaining
}

// Call returns the function through which a node sends requests to the state service.
func (s *Store) Call(
	from string,
) func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		r := &storeRequest{s, from, method, target, body}
		if r.comparesOnly() {
			compare := func(answer func(int, []byte)) { s.serve(from, method, target, body, r.delayAnswer(answer)) }
			s.sim.callWithLatency(from, "state", timeout, s.sim.gossipLatency, compare, done)
			return
		}
		serve := func(answer func(int, []byte)) { s.serve(from, method, target, body, answer) }
		if method != "GET" {
			serve = s.sim.withCopies(StoreChanges, serve)
		}
		if target == "/multi" {
			serve = s.sim.maybeDelay("state", serve)
		}
		s.sim.call(from, "state", timeout, func(answer func(int, []byte)) {
			answer = r.delayAnswer(answer)
			if target != "/multi" || !r.injectFault(answer) {
				serve(answer)
			}
		}, done)
	}
}

// storeRequest is a node's request that has arrived at the state service.
type storeRequest struct {
	store  *Store
	from   string
	method string
	target string
	body   []byte
}

// comparesOnly reports whether the request is a transaction without writes. It is a read: the faults
// of transactions do not apply to it.
func (r *storeRequest) comparesOnly() bool {
	return r.target == "/multi" && !bytes.Contains(r.body, []byte(`"writes":`))
}

// delayAnswer wraps an answer callback with the configured delay of the service.
func (r *storeRequest) delayAnswer(answer func(int, []byte)) func(int, []byte) {
	s := r.store
	slow := s.Slow
	if strings.HasPrefix(r.target, "/follow") {
		if s.SlowWatch > 0 {
			slow = s.SlowWatch
		}
		slow += s.WatchDelay[r.from]
	}
	slow += s.ServiceTime
	if s.sim.faultOccurs(s.slowShare) {
		slow += s.sim.randomDuration(0, s.maxSlow)
	}
	if slow <= 0 {
		return answer
	}
	return func(status int, b []byte) { s.sim.After(slow, func() { answer(status, b) }) }
}

// injectFault executes a transaction that is affected by a fault, late or without an answer, and
// reports whether it is affected.
func (r *storeRequest) injectFault(answer func(int, []byte)) bool {
	s := r.store
	served := !s.Down && !s.RefusedNodes[r.from]
	switch {
	case served && s.sim.faultOccurs(s.sim.lateWrites):
		s.sim.After(s.sim.randomDuration(minLateWriteDelay, maxLateWriteDelay), func() {
			s.sim.LateWritesDone++
			r.serveWithoutAnswer("") // executed even if its sender is refused by now
		})
	case served && s.sim.faultOccurs(s.sim.lostAnswers):
		s.sim.LostWrites++
		r.serveWithoutAnswer(r.from)
	case s.TransactionDelay[r.from] > 0:
		s.sim.After(s.TransactionDelay[r.from], func() { s.serve(r.from, r.method, r.target, r.body, answer) })
	case s.LoseAnswers[r.from] > 0:
		s.LoseAnswers[r.from]--
		r.serveWithoutAnswer(r.from)
	default:
		return false
	}
	return true
}

// serveWithoutAnswer executes the request and drops the answer.
func (r *storeRequest) serveWithoutAnswer(from string) {
	r.store.serve(from, r.method, r.target, r.body, func(int, []byte) {})
}

// Serve answers a request that arrived over a socket.
func (s *Store) Serve(method, target string, body []byte, answer func(int, []byte)) {
	s.serve("", method, target, body, answer)
}

func (s *Store) serve(from, method, target string, body []byte, answer func(int, []byte)) {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	s.Requests++
	if s.Down || s.RefusedNodes[from] {
		answer(503, []byte("{}"))
		return
	}
	if path != "/multi" && !s.allow(0) {
		answer(429, []byte("{}"))
		return
	}
	if why := s.requestFault(method, path, q, body); why != "" {
		s.sim.ReportLimitViolation("the state service refuses %s's %s %s: %s", from, method, target, why)
		answer(400, encode(map[string]string{"error": why}))
		return
	}
	switch {
	case path == "/follow":
		s.watch(from, q, answer)
	case method == "GET" && path == "/store":
		s.listPage(q, answer)
	case method == "GET" && strings.HasPrefix(path, "/store/"):
		s.read(path[len("/store/"):], answer)
	case path == "/multi":
		s.commitFrom(from, body, answer)
	case path == "/grants":
		s.grantLease(body, answer)
	default:
		s.serveLease(method, path, answer)
	}
}

// listPage answers a request for a page of a listing, or makes it fail as set by FailPages.
func (s *Store) listPage(q url.Values, answer func(int, []byte)) {
	if s.pages++; s.FailPages > 0 && s.pages%s.FailPages == 0 {
		answer(503, []byte("{}"))
		return
	}
	s.Listed++
	s.list(q, answer)
}

// read answers with the item of a key.
func (s *Store) read(key string, answer func(int, []byte)) {
	item, ok := s.items[key]
	if !ok {
		answer(404, encode(map[string]uint64{"epoch": s.revision}))
		return
	}
	answer(200, encode(item))
}

// commitFrom commits a node's transaction and counts it.
func (s *Store) commitFrom(from string, body []byte, answer func(int, []byte)) {
	s.commit(body, func(status int, b []byte) {
		if status == 200 {
			if s.commits[from]++; s.items[members.ViewKey].Revision == s.revision {
				s.commitsAtView = maps.Clone(s.commits)
			}
		}
		answer(status, b)
	})
}

// grantLease grants a new lease.
func (s *Store) grantLease(body []byte, answer func(int, []byte)) {
	s.lastLeaseID++
	ttl := time.Duration(ttlOf(body)) * time.Millisecond
	s.leases[s.lastLeaseID] = &lease{ttl, s.sim.Now.Add(ttl)}
	answer(200, encode(map[string]uint64{"hold": s.lastLeaseID}))
}

// serveLease renews or ends a lease.
func (s *Store) serveLease(method, path string, answer func(int, []byte)) {
	id, _ := leaseIDOf(path)
	switch l := s.leases[id]; {
	case l == nil:
		answer(404, []byte("{}"))
	case method == "DELETE":
		s.endLease(id)
		answer(200, []byte("{}"))
		s.answerWatches()
	default:
		l.expiresAt = s.sim.Now.Add(l.ttl)
		answer(200, []byte("{}"))
	}
}

// watch registers a watch, which is answered at the next change or at the end of its hold time.
func (s *Store) watch(from string, q url.Values, answer func(int, []byte)) {
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	if since < s.compactedRevision {
		answer(410, []byte("{}"))
		return
	}
	ms, _ := strconv.Atoi(q.Get("hold_ms"))
	s.watches = append(s.watches, &watchRequest{from, since, s.sim.Now.Add(time.Duration(ms) * time.Millisecond), answer})
	s.answerWatches()
}

// appendEvent appends a change to the log for watches, and compacts the log.
func (s *Store) appendEvent(e storeEvent) {
	s.log = append(s.log, e)
	if len(s.log) > 2*keptChanges {
		s.compactedRevision = s.log[len(s.log)-keptChanges-1].Revision
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Revision > s.compactedRevision })
		s.log = append([]storeEvent(nil), s.log[first:]...)
	}
}

func (s *Store) list(q url.Values, answer func(int, []byte)) {
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxListItems {
		limit = maxListItems
	}
	var rows []storeItem
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("since") {
			rows = append(rows, it)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	next := len(rows) > limit
	if next {
		rows = rows[:limit]
	}
	size := 0
	for i := range rows {
		if size += len(rows[i].Key) + len(rows[i].Value) + 60; size > maxListBytes && i > 0 {
			rows, next = rows[:i], true
			break
		}
	}
	answer(200, encode(map[string]any{"rows": rows, "has_next": next, "epoch": s.revision}))
}

func (s *Store) commit(body []byte, answer func(int, []byte)) {
	var t transaction
	_ = json.Unmarshal(body, &t)
	if s.poisoned(&t) {
		s.Poisoned++
		answer(400, []byte("{}"))
		return
	}
	if !s.allow(len(t.Writes)) {
		answer(429, []byte("{}"))
		return
	}
	for _, wr := range t.Writes {
		if wr.LeaseID != 0 && s.leases[wr.LeaseID] == nil {
			answer(400, []byte(`{"error":"no such lease"}`))
			return
		}
	}
	var failed []string
	for _, c := range t.Preconditions {
		if s.items[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		answer(409, encode(map[string]any{"failed": failed, "epoch": s.revision}))
		return
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, wr := range t.Writes {
		s.Writes++
		s.sim.replacements.storeChanged(wr.Write + wr.Remove)
		if s.Committed != nil {
			s.Committed(wr.Write+wr.Remove, wr.Value)
		}
		if wr.Write != "" {
			s.items[wr.Write] = storeItem{wr.Write, wr.Value, s.revision, wr.LeaseID}
			s.appendEvent(storeEvent{Write: wr.Write, Value: wr.Value, Revision: s.revision})
		} else if _, ok := s.items[wr.Remove]; ok {
			delete(s.items, wr.Remove)
			s.appendEvent(storeEvent{Remove: wr.Remove, Revision: s.revision})
		}
	}
	if s.Settled != nil {
		s.Settled()
	}
	answer(200, encode(map[string]uint64{"epoch": s.revision}))
	s.answerWatches()
}

// Put writes a key directly, as an operator could, for instance to store an unreadable record.
func (s *Store) Put(key string, v string) {
	s.revision++
	s.items[key] = storeItem{key, json.RawMessage(v), s.revision, 0}
	s.appendEvent(storeEvent{Write: key, Value: json.RawMessage(v), Revision: s.revision})
	s.answerWatches()
}

// Value returns the value of a key, nil if it does not exist.
func (s *Store) Value(key string) json.RawMessage { return s.items[key].Value }

// Live returns the number of keys that a controller mirrors, and the total size of their values.
func (s *Store) Live() (keys, bytes int) {
	for k, it := range s.items {
		if !strings.HasPrefix(k, "final/") && !strings.HasPrefix(k, "ran/") {
			keys, bytes = keys+1, bytes+len(it.Value)
		}
	}
	return keys, bytes
}

// Count returns the number of keys with a prefix.
func (s *Store) Count(prefix string) int {
	c := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			c++
		}
	}
	return c
}

// observe registers a further observer, called after the existing ones: committed for every write,
// settled after each transaction.
func (sim *Simulator) observe(committed func(key string, v json.RawMessage), settled func()) {
	nextCommitted, nextSettled := sim.Store.Committed, sim.Store.Settled
	sim.Store.Committed = func(key string, v json.RawMessage) {
		if nextCommitted != nil {
			nextCommitted(key, v)
		}
		committed(key, v)
	}
	sim.Store.Settled = func() {
		if nextSettled != nil {
			nextSettled()
		}
		settled()
	}
}
