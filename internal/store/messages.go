package store

import "encoding/json"

// The JSON tags are the names in the state service's protocol. Only this file maps them to Go
// names.

// Item is a key with its value.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"stamp"`
	LeaseID  uint64          `json:"hold,omitempty"`
}

// Precondition requires that Key is at Revision; 0 requires that it is absent.
type Precondition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"stamp"`
}

// Write puts or removes one key: either Put or Remove is set. With a LeaseID, the key is removed
// when that lease expires.
type Write struct {
	Put     string          `json:"write,omitempty"`
	Remove  string          `json:"remove,omitempty"`
	Value   json.RawMessage `json:"v,omitempty"`
	LeaseID uint64          `json:"hold,omitempty"`
}

// Txn is a compare-and-swap: all writes take effect at one revision, or none if one of the
// preconditions does not hold.
type Txn struct {
	Preconditions []Precondition `json:"if"`
	Writes        []Write        `json:"writes,omitempty"`

	body []byte // the encoded request, which Limits.Check measures and Client.Commit sends
}

// Event is a change reported by a watch: either Put or Remove is set.
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

// WatchResult is the answer to a watch: all events up to Epoch.
type WatchResult struct {
	Epoch  uint64  `json:"epoch"`
	Events []Event `json:"events"`
}

type epochAnswer struct {
	Epoch uint64 `json:"epoch"`
}

type commitAnswer struct {
	Epoch  uint64   `json:"epoch"`
	Failed []string `json:"failed"`
}

type leaseAnswer struct {
	LeaseID uint64 `json:"hold"`
}
