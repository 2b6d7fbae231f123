package rig

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptChanges is how many changes the state service keeps for watches.
const keptChanges = 10000

// Store stands in for the state service.
type Store struct {
	mu       sync.Mutex
	epoch    uint64
	items    map[string]storeItem
	changes  []storeChange
	leases   map[uint64]*storeLease
	leaseID  uint64
	changed  chan struct{} // closed at the next change
	valueMax int
	opsMax   int

	// Faults, under the lock.
	Down      bool    // an outage: 503, and watches wait
	LateShare float64 // share of transactions without an answer that are carried out 2 to 12 s later
	LostShare float64 // share of transactions that are carried out and whose answer is lost
	SlowMs    int     // delay of every answer but those to watches
}

// Faults changes the state service's faults.
func (s *Store) Faults(change func(s *Store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasDown := s.Down
	change(s)
	if wasDown && !s.Down {
		for _, lease := range s.leases {
			lease.ends = time.Now().Add(lease.ttl)
		}
	}
}

// disturb applies the faults to a request, and reports whether it was answered by that.
func (s *Store) disturb(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	down, slow, late, lost := s.Down, s.SlowMs, s.LateShare, s.LostShare
	s.mu.Unlock()
	if down {
		answer(w, http.StatusServiceUnavailable, map[string]string{})
		return true
	}
	if slow > 0 && r.URL.Path != "/follow" {
		time.Sleep(time.Duration(slow) * time.Millisecond)
	}
	if r.URL.Path != "/multi" {
		return false
	}
	draw := rand.Float64()
	if draw >= late+lost {
		return false
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return true
	}
	copied := httptest.NewRequest(r.Method, "/multi", bytes.NewReader(text))
	if draw < late {
		delay := time.Duration(2000+rand.IntN(10000)) * time.Millisecond
		time.AfterFunc(delay, func() { s.multi(httptest.NewRecorder(), copied) })
	} else {
		s.multi(httptest.NewRecorder(), copied)
	}
	<-r.Context().Done()
	return true
}

type storeItem struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

type storeChange struct {
	Write  string          `json:"write,omitempty"`
	Remove string          `json:"remove,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Stamp  uint64          `json:"stamp"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

type condition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type storeWrite struct {
	Write  string          `json:"write"`
	Remove string          `json:"remove"`
	Value  json.RawMessage `json:"v"`
	Hold   uint64          `json:"hold"`
}

type transaction struct {
	If     []condition  `json:"if"`
	Writes []storeWrite `json:"writes"`
}

// NewStore returns an empty state service with the limits of the settings.
func NewStore(valueKB, txnOps int) *Store {
	s := &Store{
		epoch:    1,
		items:    map[string]storeItem{},
		leases:   map[uint64]*storeLease{},
		changed:  make(chan struct{}),
		valueMax: valueKB << 10,
		opsMax:   txnOps,
	}
	go s.expire()
	return s
}

// Value returns the value of a key, nil if it is absent.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// expire ends leases that were not renewed in time.
func (s *Store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, lease := range s.leases {
			if !s.Down && time.Now().After(lease.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var writes []storeWrite
	for key, item := range s.items {
		if item.Hold == id {
			writes = append(writes, storeWrite{Remove: key})
		}
	}
	s.apply(writes)
}

// apply carries out writes under one revision. The caller holds the lock.
func (s *Store) apply(writes []storeWrite) {
	if len(writes) == 0 {
		return
	}
	s.epoch++
	for _, write := range writes {
		if write.Write != "" {
			s.items[write.Write] = storeItem{write.Write, write.Value, s.epoch, write.Hold}
			s.changes = append(s.changes, storeChange{Write: write.Write, Value: write.Value, Stamp: s.epoch})
		} else if _, ok := s.items[write.Remove]; ok {
			delete(s.items, write.Remove)
			s.changes = append(s.changes, storeChange{Remove: write.Remove, Stamp: s.epoch})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a controller's request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.disturb(w, r) {
		return
	}
	path := r.URL.Path
	switch {
	case path == "/multi":
		s.multi(w, r)
	case path == "/follow":
		s.follow(w, r)
	case path == "/store":
		s.list(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.get(w, strings.TrimPrefix(path, "/store/"))
	case path == "/grants":
		s.grant(w, r)
	case strings.HasPrefix(path, "/grants/"):
		s.renew(w, r)
	default:
		answer(w, http.StatusBadRequest, map[string]string{"error": "unknown path"})
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	epoch := s.epoch
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"epoch": epoch})
		return
	}
	answer(w, http.StatusOK, item)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	rows := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("since") {
			rows = append(rows, item)
		}
	}
	epoch := s.epoch
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	size, count := 0, 0
	for count < len(rows) && count < limit {
		if size += len(rows[count].Key) + len(rows[count].Value) + 60; size > 500<<10 && count > 0 {
			break
		}
		count++
	}
	answer(w, http.StatusOK, map[string]any{"rows": rows[:count], "has_next": count < len(rows), "epoch": epoch})
}

func (s *Store) multi(w http.ResponseWriter, r *http.Request) {
	var txn transaction
	if readJSON(r, &txn) != nil || r.ContentLength > 64<<10 || len(txn.Writes) > s.opsMax {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range txn.Writes {
		if write.Hold != 0 && s.leases[write.Hold] == nil {
			answer(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
		if len(write.Value) > s.valueMax {
			answer(w, http.StatusBadRequest, map[string]string{"error": "value too large"})
			return
		}
	}
	failed := []string{}
	for _, c := range txn.If {
		if s.items[c.Key].Stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	s.apply(txn.Writes)
	answer(w, http.StatusOK, map[string]uint64{"epoch": s.epoch})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int `json:"ttl_ms"`
	}
	if readJSON(r, &request) != nil || request.TTL < 100 || request.TTL > 600000 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	s.leaseID++
	id, ttl := s.leaseID, time.Duration(request.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]uint64{"hold": id})
}

// renew answers POST /grants/ID/renew and DELETE /grants/ID.
func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/grants/"), "/")
	id, err := strconv.ParseUint(digits, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	switch {
	case err != nil || lease == nil:
		answer(w, http.StatusNotFound, map[string]string{})
		return
	case r.Method == http.MethodDelete:
		s.endLease(id)
	default:
		lease.ends = time.Now().Add(lease.ttl)
	}
	answer(w, http.StatusOK, map[string]string{})
}

func (s *Store) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "since"})
		return
	}
	hold, err := strconv.Atoi(query.Get("hold_ms"))
	if err != nil {
		hold = 0
	}
	timeout := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if len(s.changes) > keptChanges && since < s.changes[len(s.changes)-keptChanges-1].Stamp {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]string{})
			return
		}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Stamp > since })
		events := append([]storeChange{}, s.changes[first:]...)
		epoch, changed, down := s.epoch, s.changed, s.Down
		s.mu.Unlock()
		if down {
			changed = nil
		}
		if (len(events) > 0 || last) && !down {
			answer(w, http.StatusOK, map[string]any{"epoch": epoch, "events": events})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			last = true
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
