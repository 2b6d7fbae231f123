package store

import "encoding/json"

// Item is a key with its value.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"hold,omitempty"`
}

// Precondition demands that Key has version Stamp; 0 means absent.
type Precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Write puts or removes a key.
type Write struct {
	Put     string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"hold,omitempty"`
}

// Txn is an atomic transaction.
type Txn struct {
	Preconditions []Precondition `json:"if"`
	Writes        []Write        `json:"writes,omitempty"`

	body []byte // as sent, once it was counted
}

// Event is one change seen by a watch.
type Event struct {
	Put      string          `json:"write"`
	Remove   string          `json:"remove"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
}

// Page is one page of a listing.
type Page struct {
	Rows    []Item `json:"rows"`
	HasNext bool   `json:"has_next"`
	Epoch   uint64 `json:"epoch"`
}

// WatchResult is the answer to it.
type WatchResult struct {
	Epoch  uint64  `json:"epoch"`
	Events []Event `json:"events"`
}
