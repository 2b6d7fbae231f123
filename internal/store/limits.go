package store

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Limits are the state service's limits on one transaction (PROTOCOL, POST /multi).
type Limits struct {
	Ops   int // puts and deletes
	Conds int // conditions
	Body  int // bytes of the request
	Value int // bytes of a value
}

// MostKey, bytes: a key's length (PROTOCOL, "Controller nodes -> state service").
const MostKey = 200

// KeyFault tells why the state service would not take a key, "" if it would.
func KeyFault(key string) string {
	if key == "" || len(key) > MostKey || strings.ContainsAny(key, " \t\r\n") {
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
	if len(t.If) > l.Conds {
		return fmt.Sprintf("%d conditions of %d", len(t.If), l.Conds)
	}
	for i := range t.If {
		if why := KeyFault(t.If[i].Key); why != "" {
			return why
		}
	}
	for i := range t.Writes {
		w := &t.Writes[i]
		if why := KeyFault(w.Put + w.Remove); why != "" {
			return why
		}
		if len(w.Value) > l.Value {
			return fmt.Sprintf("%d bytes of %d in %s", len(w.Value), l.Value, w.Put)
		}
	}
	if err := t.seal(); err != nil {
		return err.Error()
	}
	if len(t.body) > l.Body {
		return fmt.Sprintf("%d bytes of %d", len(t.body), l.Body)
	}
	return ""
}

// seal makes the request's body. What is changed afterwards is not in it.
func (t *Txn) seal() error {
	if t.If == nil {
		t.If = []Cond{}
	}
	var err error
	t.body, err = json.Marshal(t)
	return err
}
