package store

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Limits are the state service's limits on one transaction (PROTOCOL, POST /multi).
type Limits struct {
	Ops           int // puts and removals
	Preconditions int
	BodyBytes     int // of the encoded request
	ValueBytes    int // of one value
}

// MaxKeyBytes is the maximum length of a key that the state service accepts, in bytes (PROTOCOL,
// "Controller nodes -> state service").
const MaxKeyBytes = 200

// KeyError reports a key that the state service would not accept.
type KeyError struct {
	Key string
}

// Error returns a message with the key, shortened, and its length.
func (e *KeyError) Error() string { return fmt.Sprintf("key %.40q of %d bytes", e.Key, len(e.Key)) }

// CheckKey returns a *KeyError if the state service would not accept the key.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return &KeyError{Key: key}
	}
	return nil
}

// LimitedQuantity is a quantity that Limits bounds; its value is the unit in error messages.
type LimitedQuantity string

// Limited quantities.
const (
	LimitedOps           LimitedQuantity = "changes"
	LimitedPreconditions LimitedQuantity = "conditions"
	LimitedBytes         LimitedQuantity = "bytes"
)

// LimitError reports a transaction that exceeds a limit.
type LimitError struct {
	Quantity LimitedQuantity
	Count    int
	Limit    int
	Key      string // key of the value that is too large; "" if the limit is on the whole transaction
}

// Error returns a message with the count, the limit and, if one value is too large, its key.
func (e *LimitError) Error() string {
	if e.Key != "" {
		return fmt.Sprintf("%d %s of %d in %s", e.Count, e.Quantity, e.Limit, e.Key)
	}
	return fmt.Sprintf("%d %s of %d", e.Count, e.Quantity, e.Limit)
}

// Check returns a *LimitError or *KeyError if the state service would refuse a transaction. It
// measures the encoded request body, which the transaction keeps and Client.Commit sends, so the
// transaction must not be changed afterwards.
func (l Limits) Check(t *Txn) error {
	if len(t.Writes) > l.Ops {
		return &LimitError{Quantity: LimitedOps, Count: len(t.Writes), Limit: l.Ops}
	}
	if len(t.Preconditions) > l.Preconditions {
		return &LimitError{Quantity: LimitedPreconditions, Count: len(t.Preconditions), Limit: l.Preconditions}
	}
	for i := range t.Preconditions {
		if err := CheckKey(t.Preconditions[i].Key); err != nil {
			return err
		}
	}
	for i := range t.Writes {
		if err := l.checkWrite(&t.Writes[i]); err != nil {
			return err
		}
	}
	if err := t.encodeBody(); err != nil {
		return err
	}
	if len(t.body) > l.BodyBytes {
		return &LimitError{Quantity: LimitedBytes, Count: len(t.body), Limit: l.BodyBytes}
	}
	return nil
}

func (l Limits) checkWrite(w *Write) error {
	if err := CheckKey(w.Put + w.Remove); err != nil {
		return err
	}
	if len(w.Value) > l.ValueBytes {
		return &LimitError{Quantity: LimitedBytes, Count: len(w.Value), Limit: l.ValueBytes, Key: w.Put}
	}
	return nil
}

// Violation returns the message of Check's error, or "" if there is none.
func (l Limits) Violation(t *Txn) string {
	if err := l.Check(t); err != nil {
		return err.Error()
	}
	return ""
}

// encodeBody encodes the request body. Later changes to the transaction are not included.
func (t *Txn) encodeBody() error {
	if t.Preconditions == nil {
		t.Preconditions = []Precondition{}
	}
	var err error
	t.body, err = json.Marshal(t)
	return err
}
