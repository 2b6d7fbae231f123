package calendar

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/harrierreel/harrierreel/internal/quota"
)

// The model: the state service, controllers with mirrors that lag, transactions that arrive late or
// never, and tasks. It has only what the protocol has: a transaction is committed if the
// revisions that it names are the newest.

// modelItem is a value of the state service.
type modelItem struct {
	Revision int
	Value    string
}

// modelStore is the state service, or what a controller knows of it.
type modelStore struct {
	Epoch   int
	Items   map[string]modelItem
	Running map[string]int // attempts by class, as their records say
}

func (s modelStore) clone() modelStore {
	return modelStore{Epoch: s.Epoch, Items: maps.Clone(s.Items), Running: maps.Clone(s.Running)}
}

// modelTransaction is a transaction under way.
type modelTransaction struct {
	By        int
	Revisions map[string]int // that it is conditional on
	Key       string         // written, "" for none
	Value     string
	Class     string // of an attempt that begins, "" for none
	Lost      bool   // its controller knows nothing of it any more
}

// modelController is a controller.
type modelController struct {
	Known modelStore
	File  int // its own document, by index
}

// missingGuard is a guard that is left out, to see the model find it.
type missingGuard string

const (
	noneMissing     missingGuard = ""
	revisionMissing missingGuard = "stamp"   // releases are not conditional on their track
	proofMissing    missingGuard = "proof"   // windows open without a look at tasks
	settledMissing  missingGuard = "settled" // what is looked at may be older than the end's commit
)

type model struct {
	Now           int64
	Store         modelStore
	Controllers   []modelController
	Flight        []modelTransaction
	Leader        int // that the view names
	LeaderChanges int // of the lead, and restarts of a leader
	Opened        map[string]int
	Ended         map[string]State

	documents []*Plan
	plans     map[string]*Plan // by what the state service holds of the document
	records   map[string]*Record
	numbers   map[string]int // of values, to tell states apart by
	classes   []string
	offMs     int64
	broken    string // what went wrong first or last
	missing   missingGuard
}

const viewKey = "view"

func newModel(documents []*Plan, classes []string, controllers int, nowMs, offMs int64) *model {
	m := &model{
		Now: nowMs,
		Store: modelStore{
			Epoch:   1,
			Items:   map[string]modelItem{viewKey: {Revision: 1, Value: "0"}},
			Running: map[string]int{},
		},
		Opened:    map[string]int{},
		Ended:     map[string]State{},
		documents: documents,
		plans:     map[string]*Plan{},
		records:   map[string]*Record{},
		numbers:   map[string]int{},
		classes:   classes,
		offMs:     offMs,
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
	c.Flight = slices.Clone(m.Flight)
	for i := range c.Controllers {
		c.Controllers[i].Known = m.Controllers[i].Known.clone()
	}
	c.Opened = maps.Clone(m.Opened)
	c.Ended = maps.Clone(m.Ended)
	return &c
}

// leads tells whether a controller believes that it leads.
func (m *model) leads(i int) bool {
	return m.Controllers[i].Known.Items[viewKey].Value == strconv.Itoa(i)
}

// keeper is the keeper of a controller that has just read its mirror.
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

// modelCluster is what a controller knows of tasks.
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
	return known.Epoch >= newest || c.model.missing == settledMissing
}

func (c modelCluster) Attempts(ofClass func(quota.Key) bool) int {
	if c.model.missing == proofMissing {
		return 0
	}
	sum := 0
	for class, count := range c.model.Controllers[c.controller].Known.Running {
		if ofClass(classKey(class)) {
			sum += count
		}
	}
	for _, transaction := range c.model.Flight {
		own := transaction.By == c.controller && !transaction.Lost
		if own && transaction.Class != "" && ofClass(classKey(transaction.Class)) {
			sum++ // its own transaction without an answer
		}
	}
	return sum
}

func classKey(class string) quota.Key { return quota.Key{Team: "shop", Class: class} }

func (m *model) time() Now { return Now{Ms: m.Now, OffMs: m.offMs, PrepareMs: 60_000} }

// send puts a transaction on its way, conditional on what its controller knows.
func (m *model) send(i int, transaction modelTransaction, keys ...string) {
	transaction.By = i
	transaction.Revisions = map[string]int{}
	for _, key := range append(keys, viewKey, StoreKey) {
		transaction.Revisions[key] = m.Controllers[i].Known.Items[key].Revision
	}
	m.Flight = append(m.Flight, transaction)
}

// putInForce has a controller put its own file in force if its revision is higher.
func (m *model) putInForce(i int) bool {
	keeper := m.keeper(i)
	if keeper.plan != nil && keeper.plan.Revision >= keeper.filePlan.Revision {
		return false
	}
	m.send(i, modelTransaction{Key: StoreKey, Value: string(EncodeDocument(&keeper.filePlan.Doc))})
	return true
}

// reconcile has a controller that believes to lead decide.
func (m *model) reconcile(i int) bool {
	keeper := m.keeper(i)
	for _, transaction := range m.Flight {
		if transaction.By == i && !transaction.Lost && transaction.Key != "" {
			return false // its record is under a transaction
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

// release has a controller that believes to lead give a task of a class a machine.
func (m *model) release(i int, class string) bool {
	verdict, keys := m.keeper(i).Gate(m.time(), classKey(class))
	if verdict != Free && verdict != Allowed {
		return false
	}
	for _, transaction := range m.Flight {
		if transaction.By == i && !transaction.Lost && transaction.Class == class {
			return false
		}
	}
	if m.missing == revisionMissing {
		keys = nil
	}
	m.send(i, modelTransaction{Class: class}, keys...)
	return true
}

// deliver has a transaction come to the state service; its answer, if it is not lost, shows its
// controller its own writes ahead of its watch.
func (m *model) deliver(number int, answered bool) {
	transaction := m.Flight[number]
	m.Flight = slices.Delete(m.Flight, number, number+1)
	for key, revision := range transaction.Revisions {
		if m.Store.Items[key].Revision != revision {
			return
		}
	}
	m.Store.Epoch++
	known := &m.Controllers[transaction.By].Known
	shown := answered && !transaction.Lost
	if key := transaction.Key; key != "" {
		m.checkWrite(key, m.Store.Items[key].Value, transaction.Value)
		m.Store.Items[key] = modelItem{Revision: m.Store.Epoch, Value: transaction.Value}
		if shown {
			known.Items[key] = m.Store.Items[key]
		}
	}
	if class := transaction.Class; class != "" {
		m.Store.Running[class]++
		m.checkBegin(class)
		if shown {
			known.Running[class]++
		}
	}
}

// catchUp has a controller's watch bring everything.
func (m *model) catchUp(i int) { m.Controllers[i].Known = m.Store.clone() }

// changeLeader has another controller lead, whose watch may be behind its own commit of the view. The old
// one may be frozen and think that it still does.
func (m *model) changeLeader(to int) {
	m.LeaderChanges++
	m.Store.Epoch++
	m.Leader = to
	m.Store.Items[viewKey] = modelItem{Revision: m.Store.Epoch, Value: strconv.Itoa(to)}
	m.Controllers[to].Known.Items[viewKey] = m.Store.Items[viewKey]
}

// restart has a controller end and come back at once: it reads everything anew and knows nothing of
// what it has sent, which may still arrive.
func (m *model) restart(i int) {
	m.catchUp(i)
	for number := range m.Flight {
		if m.Flight[number].By == i {
			m.Flight[number].Lost = true
		}
	}
}

// end has an attempt end and its record say so.
func (m *model) end(class string) {
	m.Store.Epoch++
	m.Store.Running[class]--
	if m.Store.Running[class] == 0 {
		delete(m.Store.Running, class)
	}
}
