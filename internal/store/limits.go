package store

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Limits are the state service's limits on one transaction (PROTOCOL, POST /multi).
type Limits struct {
	Ops           int // puts and deletes
	Preconditions int // conditions
	BodyBytes     int // bytes of the request
	ValueBytes    int // bytes of a value
}

// MaxKeyBytes, bytes: a key's length (PROTOCOL, "Controller nodes -> state service").
const MaxKeyBytes = 200

// KeyFault tells why the state service would not take a key, "" if it would.
func KeyFault(key string) string {
	if key == "" || len(key) > MaxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return fmt.Sprintf("key %.40q of %d bytes", key, len(key))
	}
	return ""
}

// Fault tells which limit a transaction passes, "" for none. It is counted on what
// is sent, not on what it was made from.
func (l Limits) Fault(t *Txn) string {
	if len(t.Writes) > l.Ops {
		return fmt.Sprintf("%d changes of %d", len(t.Writes), l.Ops)
	}
	if len(t.Preconditions) > l.Preconditions {
		return fmt.Sprintf("%d conditions of %d", len(t.Preconditions), l.Preconditions)
	}
	for i := range t.Preconditions {
		if why := KeyFault(t.Preconditions[i].Key); why != "" {
			return why
		}
	}
	for i := range t.Writes {
		w := &t.Writes[i]
		if why := KeyFault(w.Put + w.Remove); why != "" {
			return why
		}
		if len(w.Value) > l.ValueBytes {
			return fmt.Sprintf("%d bytes of %d in %s", len(w.Value), l.ValueBytes, w.Put)
		}
	}
	if err := t.encodeBody(); err != nil {
		return err.Error()
	}
	if len(t.body) > l.BodyBytes {
		return fmt.Sprintf("%d bytes of %d", len(t.body), l.BodyBytes)
	}
	return ""
}

// encodeBody makes the request's body. What is changed afterwards is not in it.
func (t *Txn) encodeBody() error {
	if t.Preconditions == nil {
		t.Preconditions = []Precondition{}
	}
	var err error
	t.body, err = json.Marshal(t)
	return err
}
