package simulation

import (
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

// Store stands in for the state service.
type Store struct {
	w       *Simulator
	Down    bool
	Refuse  map[string]bool // nodes that get 503
	epoch   uint64
	items   map[string]storeItem
	log     []storeEvent
	forgot  uint64 // up to where changes are no longer kept
	grants  map[uint64]*grant
	nextID  uint64
	waiters []*waiter
	Writes  int
	// Lose drops the answers to a node's next transactions, Late delays the
	// transactions themselves.
	Lose map[string]int
	// carried counts a node's transactions that were carried out, carriedAt up to the
	// last change of the view.
	carried, carriedAt map[string]int
	// Lag delays the answers to a node's watches.
	Lag  map[string]time.Duration
	Late map[string]time.Duration
	// RPS and WPS are limits that are enforced, with bursts of a second's
	// worth; 0 enforces none. Refused counts what went beyond them.
	RPS, WPS float64
	// ValueKB and TxnOps are limits of a value and of a transaction; 0 enforces none.
	ValueKB float64
	TxnOps  int
	// Poison has transactions refused for no reason that the protocol knows: those that
	// write anything of this job but its own record. Poisoned counts them.
	Poison string
	// FailPages has each so-manieth page of a listing refused, 0 none.
	FailPages      int
	pages          int
	Listed         int // pages that were listed
	Poisoned       int
	rTokens, wUsed float64
	filled         time.Time
	Refused        int
	// Slow is added to every answer, SlowWatch to those of watches instead.
	Slow, SlowWatch time.Duration
	slowSome        drawn // share of its answers that come up to slowMost later
	slowMost        time.Duration
	// Committed, if set, is called for every write of a transaction, with a nil
	// value for a removal, and Settled after each transaction. Requests counts all
	// that were served.
	Committed func(key string, v json.RawMessage)
	Settled   func()
	Requests  int
}

// allow takes a request with some writes out of the limits.
func (s *Store) allow(writes int) bool {
	if s.RPS == 0 {
		return true
	}
	if s.filled.IsZero() {
		s.filled, s.rTokens, s.wUsed = s.w.Now, s.RPS, 0
	}
	dt := s.w.Now.Sub(s.filled).Seconds()
	s.filled = s.w.Now
	s.rTokens = min(s.RPS, s.rTokens+dt*s.RPS)
	s.wUsed = max(0, s.wUsed-dt*s.WPS)
	if s.rTokens < 1 || writes > 0 && s.wUsed+float64(writes) > s.WPS {
		s.Refused++
		return false
	}
	s.rTokens--
	s.wUsed += float64(writes)
	return true
}

type storeItem struct {
	Key   string          `json:"key"`
	V     json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

type storeEvent struct {
	Write  string          `json:"write,omitempty"`
	Remove string          `json:"remove,omitempty"`
	V      json.RawMessage `json:"v,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

type waiter struct {
	from   string
	since  uint64
	ends   time.Time
	answer func(int, []byte)
}

func newStore(w *Simulator) *Store {
	s := &Store{
		w:         w,
		Refuse:    map[string]bool{},
		items:     map[string]storeItem{},
		grants:    map[uint64]*grant{},
		Lose:      map[string]int{},
		carried:   map[string]int{},
		carriedAt: map[string]int{},
		Late:      map[string]time.Duration{},
		Lag:       map[string]time.Duration{},
	}
	var heartbeatSeq func()
	heartbeatSeq = func() {
		s.expire()
		s.wake()
		w.After(50*time.Millisecond, heartbeatSeq)
	}
	w.After(0, heartbeatSeq)
	return s
}

// SlowSome has, for so long, that share of its answers come up to most later, each by a
// time of its own: of two answers to one controller the later may come first.
func (s *Store) SlowSome(share float64, most, long time.Duration) {
	s.slowSome, s.slowMost = drawn{share, s.w.Now.Add(long)}, most
}

// SetDown starts or ends an outage; every lease then has its full time again.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if !down {
		for _, g := range s.grants {
			g.ends = s.w.Now.Add(g.ttl)
		}
	}
}

func (s *Store) expire() {
	if s.Down {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.grants)) {
		if s.w.Now.After(s.grants[id].ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.grants, id)
	var keys []string
	for k, it := range s.items {
		if it.Hold == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > 0 {
		s.epoch++
	}
	for _, k := range keys {
		delete(s.items, k)
		s.note(storeEvent{Remove: k, Stamp: s.epoch})
	}
}

func (s *Store) wake() {
	if s.Down {
		return
	}
	var rest []*waiter
	for _, wt := range s.waiters {
		if s.Refuse[wt.from] || (s.epoch <= wt.since && s.w.Now.Before(wt.ends)) {
			rest = append(rest, wt)
			continue
		}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > wt.since })
		evs := s.log[first:]
		wt.answer(200, encode(map[string]any{"epoch": s.epoch, "events": evs}))
	}
	s.waiters = rest
}

// Call is a node's way to the state service.
func (s *Store) Call(
	from string,
) func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
	return func(method, target string, body []byte, timeout time.Duration, done func(int, []byte, error)) {
		serve := func(answer func(int, []byte)) { s.serve(from, method, target, body, answer) }
		if target == "/multi" {
			serve = s.w.maybeLate("state", serve)
		}
		send := func() {
			s.w.call(from, "state", timeout, func(answer func(int, []byte)) {
				slow := s.Slow
				if s.SlowWatch > 0 && strings.HasPrefix(target, "/follow") {
					slow = s.SlowWatch
				}
				if strings.HasPrefix(target, "/follow") {
					slow += s.Lag[from]
				}
				if s.w.meets(s.slowSome) {
					slow += s.w.between(0, s.slowMost)
				}
				if slow > 0 {
					quick := answer
					answer = func(status int, b []byte) { s.w.After(slow, func() { quick(status, b) }) }
				}
				if target == "/multi" && !s.Down && !s.Refuse[from] && s.w.meets(s.w.lateWrites) {
					s.w.After(s.w.between(lateWriteFrom, lateWriteTo), func() {
						s.w.LateDone++
						s.serve("", method, target, body, func(int, []byte) {}) // it has passed what refuses its sender
					})
					return
				}
				if target == "/multi" && !s.Down && !s.Refuse[from] && s.w.meets(s.w.lostAnswers) {
					s.w.Unheard++
					s.serve(from, method, target, body, func(int, []byte) {})
					return
				}
				if target == "/multi" && s.Late[from] > 0 {
					s.w.After(s.Late[from], func() { s.serve(from, method, target, body, answer) })
					return
				}
				if target == "/multi" && s.Lose[from] > 0 {
					s.Lose[from]--
					s.serve(from, method, target, body, func(int, []byte) {})
					return
				}
				serve(answer)
			}, done)
		}
		send()
	}
}

// Serve answers a request that came over a socket.
func (s *Store) Serve(method, target string, body []byte, answer func(int, []byte)) {
	s.serve("", method, target, body, answer)
}

func (s *Store) serve(from, method, target string, body []byte, answer func(int, []byte)) {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	s.Requests++
	if s.Down || s.Refuse[from] {
		answer(503, []byte("{}"))
		return
	}
	if path != "/multi" && !s.allow(0) {
		answer(429, []byte("{}"))
		return
	}
	if why := s.malformed(method, path, q, body); why != "" {
		s.w.Breach("the state service refuses %s's %s %s: %s", from, method, target, why)
		answer(400, encode(map[string]string{"error": why}))
		return
	}
	switch {
	case path == "/follow":
		s.follow(from, q, answer)
	case method == "GET" && path == "/store":
		if s.pages++; s.FailPages > 0 && s.pages%s.FailPages == 0 {
			answer(503, []byte("{}"))
			return
		}
		s.Listed++
		s.list(q, answer)
	case method == "GET" && strings.HasPrefix(path, "/store/"):
		it, ok := s.items[path[len("/store/"):]]
		if !ok {
			answer(404, encode(map[string]uint64{"epoch": s.epoch}))
			return
		}
		answer(200, encode(it))
	case path == "/multi":
		s.multi(body, func(status int, b []byte) {
			if status == 200 {
				if s.carried[from]++; s.items[members.ViewKey].Stamp == s.epoch {
					s.carriedAt = maps.Clone(s.carried)
				}
			}
			answer(status, b)
		})
	case path == "/grants":
		s.nextID++
		ttl := time.Duration(ttlOf(body)) * time.Millisecond
		s.grants[s.nextID] = &grant{ttl, s.w.Now.Add(ttl)}
		answer(200, encode(map[string]uint64{"hold": s.nextID}))
	default:
		id, _ := grantOf(path)
		switch g := s.grants[id]; {
		case g == nil:
			answer(404, []byte("{}"))
		case method == "DELETE":
			s.end(id)
			answer(200, []byte("{}"))
			s.wake()
		default:
			g.ends = s.w.Now.Add(g.ttl)
			answer(200, []byte("{}"))
		}
	}
}

// follow holds a watch until something has changed.
func (s *Store) follow(from string, q url.Values, answer func(int, []byte)) {
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	if since < s.forgot {
		answer(410, []byte("{}"))
		return
	}
	ms, _ := strconv.Atoi(q.Get("hold_ms"))
	s.waiters = append(s.waiters, &waiter{from, since, s.w.Now.Add(time.Duration(ms) * time.Millisecond), answer})
	s.wake()
}

// note keeps a change for the watches, and forgets the oldest ones.
func (s *Store) note(e storeEvent) {
	s.log = append(s.log, e)
	if len(s.log) > 2*keptChanges {
		s.forgot = s.log[len(s.log)-keptChanges-1].Stamp
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > s.forgot })
		s.log = append([]storeEvent(nil), s.log[first:]...)
	}
}

func (s *Store) list(q url.Values, answer func(int, []byte)) {
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > listItems {
		limit = listItems
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
		if size += len(rows[i].Key) + len(rows[i].V) + 60; size > listBytes && i > 0 {
			rows, next = rows[:i], true
			break
		}
	}
	answer(200, encode(map[string]any{"rows": rows, "has_next": next, "epoch": s.epoch}))
}

func (s *Store) multi(body []byte, answer func(int, []byte)) {
	var t multi
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
		if wr.LeaseID != 0 && s.grants[wr.LeaseID] == nil {
			answer(400, []byte(`{"error":"no such lease"}`))
			return
		}
	}
	var failed []string
	for _, c := range t.Conditions {
		if s.items[c.Key].Stamp != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		answer(409, encode(map[string]any{"failed": failed, "epoch": s.epoch}))
		return
	}
	if len(t.Writes) > 0 {
		s.epoch++
	}
	for _, wr := range t.Writes {
		s.Writes++
		if s.Committed != nil {
			s.Committed(wr.Write+wr.Remove, wr.Value)
		}
		if wr.Write != "" {
			s.items[wr.Write] = storeItem{wr.Write, wr.Value, s.epoch, wr.LeaseID}
			s.note(storeEvent{Write: wr.Write, V: wr.Value, Stamp: s.epoch})
		} else if _, ok := s.items[wr.Remove]; ok {
			delete(s.items, wr.Remove)
			s.note(storeEvent{Remove: wr.Remove, Stamp: s.epoch})
		}
	}
	if s.Settled != nil {
		s.Settled()
	}
	answer(200, encode(map[string]uint64{"epoch": s.epoch}))
	s.wake()
}

// Put writes a key as an operator's hand would, to plant odd records.
func (s *Store) Put(key string, v string) {
	s.epoch++
	s.items[key] = storeItem{key, json.RawMessage(v), s.epoch, 0}
	s.note(storeEvent{Write: key, V: json.RawMessage(v), Stamp: s.epoch})
	s.wake()
}

// Value is what a key holds.
func (s *Store) Value(key string) json.RawMessage { return s.items[key].V }

// Live counts the keys that a controller mirrors, and the bytes of their values.
func (s *Store) Live() (keys, bytes int) {
	for k, it := range s.items {
		if !strings.HasPrefix(k, "final/") && !strings.HasPrefix(k, "ran/") {
			keys, bytes = keys+1, bytes+len(it.V)
		}
	}
	return keys, bytes
}

// Count is the number of keys with a prefix.
func (s *Store) Count(prefix string) int {
	c := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			c++
		}
	}
	return c
}
