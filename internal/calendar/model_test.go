package calendar

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// This file contains a model of the protocol: the state service, controllers with lagging mirrors,
// transactions that arrive late or never, and tasks. A transaction is committed if the revisions
// that it names are the newest ones.

// modelItem is a value of the state service.
type modelItem struct {
	Revision int
	Value    string
}

// modelStore is the content of the state service, or a controller's copy of it.
type modelStore struct {
	Epoch   int
	Items   map[string]modelItem
	Running map[string]int // attempts by class, according to their records
}

func (s modelStore) clone() modelStore {
	return modelStore{Epoch: s.Epoch, Items: maps.Clone(s.Items), Running: maps.Clone(s.Running)}
}

// modelTransaction is a transaction that was sent but has not arrived.
type modelTransaction struct {
	By        int            // index of its controller
	Revisions map[string]int // revisions that it is conditional on, by key
	Key       string         // key that it writes, "" for none
	Value     string
	Class     string // class of the attempt that it starts, "" for none
	Lost      bool   // its controller has restarted and does not know of it
}

// modelController is a controller.
type modelController struct {
	Known modelStore
	File  int // index of its own document
}

// disabledGuard names the guard that is disabled, to check that the model detects the violation.
type disabledGuard string

const (
	noneDisabled     disabledGuard = ""
	revisionDisabled disabledGuard = "stamp"   // releases are not conditional on the track's record
	proofDisabled    disabledGuard = "proof"   // windows open without the proof that the track is free
	settledDisabled  disabledGuard = "settled" // the proof may be older than the commit that started closing
)

// model is a state of the modelled system, and the outcome of the checks so far.
type model struct {
	Now           int64
	Store         modelStore
	Controllers   []modelController
	InFlight      []modelTransaction
	Leader        int              // index of the leader in the view
	LeaderChanges int              // changes of leader, and restarts of the leader
	Opened        map[string]int   // number of openings, by occurrence
	Ended         map[string]State // final states, by occurrence

	documents    []*Plan
	plans        map[string]*Plan // by the document's value in the state service
	records      map[string]*Record
	numbers      map[string]int // numbers of the values, for fingerprints
	classes      []string
	clockErrorMs int64
	violation    string        // a violation of the rules, "" for none
	disabled     disabledGuard // a guard that is disabled, noneDisabled for none
}

const viewKey = "view"

func newModel(documents []*Plan, classes []string, controllers int, nowMs, clockErrorMs int64) *model {
	m := &model{
		Now: nowMs,
		Store: modelStore{
			Epoch:   1,
			Items:   map[string]modelItem{viewKey: {Revision: 1, Value: "0"}},
			Running: map[string]int{},
		},
		Opened:       map[string]int{},
		Ended:        map[string]State{},
		documents:    documents,
		plans:        map[string]*Plan{},
		records:      map[string]*Record{},
		numbers:      map[string]int{},
		classes:      classes,
		clockErrorMs: clockErrorMs,
	}
	for _, plan := range documents {
		m.plans[string(EncodeDocument(&plan.Doc))] = plan
	}
	for i := range controllers {
		m.Controllers = append(m.Controllers, modelController{Known: m.Store.clone(), File: i % len(documents)})
	}
	return m
}

func (m *model) clone() *model {
	c := *m
	c.Store = m.Store.clone()
	c.Controllers = slices.Clone(m.Controllers)
	c.InFlight = slices.Clone(m.InFlight)
	for i := range c.Controllers {
		c.Controllers[i].Known = m.Controllers[i].Known.clone()
	}
	c.Opened = maps.Clone(m.Opened)
	c.Ended = maps.Clone(m.Ended)
	return &c
}

// leads reports whether a controller believes that it is the leader.
func (m *model) leads(i int) bool {
	return m.Controllers[i].Known.Items[viewKey].Value == strconv.Itoa(i)
}

// keeper returns a new keeper with the content of a controller's mirror.
func (m *model) keeper(i int) *Keeper {
	keeper := NewKeeper(m.documents[m.Controllers[i].File], testValueBytes)
	known := &m.Controllers[i].Known
	for _, key := range slices.Sorted(maps.Keys(known.Items)) {
		value := known.Items[key].Value
		track, isTrack := strings.CutPrefix(key, TrackPrefix)
		switch {
		case key == StoreKey:
			keeper.plan = m.plans[value]
		case isTrack:
			record := m.records[value]
			if record == nil {
				record, _ = DecodeRecord(json.RawMessage(value))
				m.records[value] = record
			}
			keeper.tracks[track] = record
			if holder := record.holder(); holder != nil {
				keeper.holders[track] = holder
			}
		}
	}
	return keeper
}

// modelCluster implements Cluster for a controller of the model.
type modelCluster struct {
	model      *model
	controller int
}

func (c modelCluster) Settled() bool {
	known := &c.model.Controllers[c.controller].Known
	newest := 0
	for key, item := range known.Items {
		if key != viewKey {
			newest = max(newest, item.Revision)
		}
	}
	return known.Epoch >= newest || c.model.disabled == settledDisabled
}

func (c modelCluster) Attempts(ofClass func(quota.Key) bool) int {
	if c.model.disabled == proofDisabled {
		return 0
	}
	sum := 0
	for class, count := range c.model.Controllers[c.controller].Known.Running {
		if ofClass(classKey(class)) {
			sum += count
		}
	}
	for _, transaction := range c.model.InFlight {
		own := transaction.By == c.controller && !transaction.Lost
		if own && transaction.Class != "" && ofClass(classKey(transaction.Class)) {
			sum++ // its own pending transaction
		}
	}
	return sum
}

func classKey(class string) quota.Key { return quota.Key{Team: "shop", Class: class} }

func (m *model) time() Now { return Now{Ms: m.Now, ClockErrorMs: m.clockErrorMs, PrepareMs: 60_000} }

// send sends a transaction, conditional on the revisions that its controller knows.
func (m *model) send(i int, transaction modelTransaction, keys ...string) {
	transaction.By = i
	transaction.Revisions = map[string]int{}
	for _, key := range append(keys, viewKey, StoreKey) {
		transaction.Revisions[key] = m.Controllers[i].Known.Items[key].Revision
	}
	m.InFlight = append(m.InFlight, transaction)
}

// putInForce makes a controller put its own file in force if its revision is higher.
func (m *model) putInForce(i int) bool {
	keeper := m.keeper(i)
	if keeper.plan != nil && keeper.plan.Revision >= keeper.filePlan.Revision {
		return false
	}
	m.send(i, modelTransaction{Key: StoreKey, Value: string(EncodeDocument(&keeper.filePlan.Doc))})
	return true
}

// reconcile makes a controller that believes it is the leader reconcile and send its changes.
func (m *model) reconcile(i int) bool {
	keeper := m.keeper(i)
	for _, transaction := range m.InFlight {
		if transaction.By == i && !transaction.Lost && transaction.Key != "" {
			return false // a transaction for the record is pending
		}
	}
	if keeper.plan == nil {
		return m.putInForce(i)
	}
	changes := keeper.Reconcile(m.time(), modelCluster{model: m, controller: i})
	for _, change := range changes {
		key := TrackKey(change.Track)
		m.send(i, modelTransaction{Key: key, Value: string(change.Value)}, key)
	}
	return len(changes) > 0
}

// release makes a controller that believes it is the leader start an attempt of a class.
func (m *model) release(i int, class string) bool {
	verdict, keys := m.keeper(i).Gate(m.time(), classKey(class))
	if verdict != Free && verdict != Allowed {
		return false
	}
	for _, transaction := range m.InFlight {
		if transaction.By == i && !transaction.Lost && transaction.Class == class {
			return false
		}
	}
	if m.disabled == revisionDisabled {
		keys = nil
	}
	m.send(i, modelTransaction{Class: class}, keys...)
	return true
}

// deliver makes a transaction arrive at the state service. The response, unless it is lost, applies
// the transaction's writes to its controller's copy ahead of the watch.
func (m *model) deliver(number int, answered bool) {
	transaction := m.InFlight[number]
	m.InFlight = slices.Delete(m.InFlight, number, number+1)
	for key, revision := range transaction.Revisions {
		if m.Store.Items[key].Revision != revision {
			return
		}
	}
	m.Store.Epoch++
	known := &m.Controllers[transaction.By].Known
	applied := answered && !transaction.Lost
	if key := transaction.Key; key != "" {
		m.checkWrite(key, m.Store.Items[key].Value, transaction.Value)
		m.Store.Items[key] = modelItem{Revision: m.Store.Epoch, Value: transaction.Value}
		if applied {
			known.Items[key] = m.Store.Items[key]
		}
	}
	if class := transaction.Class; class != "" {
		m.Store.Running[class]++
		m.checkBegin(class)
		if applied {
			known.Running[class]++
		}
	}
}

// catchUp makes a controller's watch deliver all changes.
func (m *model) catchUp(i int) { m.Controllers[i].Known = m.Store.clone() }

// changeLeader makes another controller the leader. Its watch may be behind its own commit of the
// view. The old leader may be frozen and believe that it still leads.
func (m *model) changeLeader(to int) {
	m.LeaderChanges++
	m.Store.Epoch++
	m.Leader = to
	m.Store.Items[viewKey] = modelItem{Revision: m.Store.Epoch, Value: strconv.Itoa(to)}
	m.Controllers[to].Known.Items[viewKey] = m.Store.Items[viewKey]
}

// restart restarts a controller. It reads everything anew and does not know of the transactions
// that it sent, which may still arrive.
func (m *model) restart(i int) {
	m.catchUp(i)
	for number := range m.InFlight {
		if m.InFlight[number].By == i {
			m.InFlight[number].Lost = true
		}
	}
}

// end ends an attempt and updates its record.
func (m *model) end(class string) {
	m.Store.Epoch++
	m.Store.Running[class]--
	if m.Store.Running[class] == 0 {
		delete(m.Store.Running, class)
	}
}
