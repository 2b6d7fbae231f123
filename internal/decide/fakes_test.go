package decide

import (
	"encoding/json"
	"errors"

	"github.com/harrierreel/harrierreel/internal/store"
)

// fakeRecords implements Records: every record has revision 1 and the given size in bytes.
type fakeRecords int

func (f fakeRecords) Revision(string) uint64     { return 1 }
func (f fakeRecords) Get(string) json.RawMessage { return make(json.RawMessage, f) }

// fakeBudget allows the given number of writes in total.
type fakeBudget int

func (f fakeBudget) Allows(planned, writes int) bool { return planned+writes <= int(f) }

type (
	busyFunc     func(key string) bool
	ownerFunc    func(machine string) bool
	batchKeyFunc func() string
	// quarantineFunc receives a quarantined decision and the limit that it exceeds.
	quarantineFunc func(decision *Decision, exceeded string)
)

func (f busyFunc) Busy(key string) bool             { return f(key) }
func (f ownerFunc) OwnsMachine(machine string) bool { return f(machine) }
func (f batchKeyFunc) NewBatchKey() string          { return f() }

func (f quarantineFunc) QuarantineDecision(decision *Decision, reason error) {
	var limit *LimitError
	if !errors.As(reason, &limit) {
		panic(reason)
	}
	f(decision, limit.Exceeded)
}

// testBatcher returns a batcher for transactions of up to ops writes, with a write budget. It
// panics if a decision is quarantined.
func testBatcher(ops, budget int) *Batcher {
	return &Batcher{
		Context:  testContext(ops),
		InFlight: busyFunc(func(string) bool { return false }),
		Budget:   fakeBudget(budget),
		Quarantine: quarantineFunc(func(decision *Decision, exceeded string) {
			panic(decision.String() + ": " + exceeded)
		}),
	}
}

// testContext returns a context with the limits of a state service that accepts up to ops writes
// per transaction.
func testContext(ops int) TxnContext {
	return TxnContext{
		Limits:        store.Limits{Ops: ops, Preconditions: 4 * ops, BodyBytes: 64 << 10, ValueBytes: 8192},
		Preconditions: []string{"view", "fence/n0"},
		Records:       fakeRecords(100),
	}
}
