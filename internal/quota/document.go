package quota

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Document describes the quota tree around the platform's teams, as operators write it (HCL) and
// as it is stored in the state service (JSON).
type Document struct {
	// GraceS is how long, in seconds, tasks above a limit may keep running after a change of the
	// tree before they are stopped. Nil means tuning.QuotaGrace.
	GraceS        *float64 `hcl:"grace_s,optional" json:"grace_s,omitempty"`
	Organisations []Org    `hcl:"organisation,block" json:"organisations,omitempty"`
	Teams         []OfTeam `hcl:"team,block" json:"teams,omitempty"`
}

// Grace returns how long, in seconds, tasks above a limit may keep running before they are stopped.
func (d *Document) Grace() float64 {
	if d.GraceS != nil {
		return *d.GraceS
	}
	return tuning.QuotaGrace.Seconds()
}

// Bounds holds numbers of cores, accelerators and GB of memory: a guarantee, a limit or a usage, as
// operators read and write it. The type's name appears in error messages to operators and must not
// change.
type Bounds struct {
	Cores        float64 `hcl:"cores,optional" json:"cores,omitempty"`
	Accelerators float64 `hcl:"accelerators,optional" json:"accelerators,omitempty"`
	MemoryGB     float64 `hcl:"memory_gb,optional" json:"memory_gb,omitempty"`
}

func toBounds(amount Amount) Bounds {
	cores, accelerators, memoryGB := amount.Float()
	return Bounds{Cores: cores, Accelerators: accelerators, MemoryGB: memoryGB}
}

// Org is an organisation, which consists of other organisations and of teams. The names of Org,
// OfTeam and OfClass appear in error messages to operators and must not change.
type Org struct {
	Name          string   `hcl:"name,label" json:"name"`
	Weight        *float64 `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow        *bool    `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend          *bool    `hcl:"lend,optional" json:"lend,omitempty"`
	Guarantee     *Bounds  `hcl:"guarantee,block" json:"guarantee,omitempty"`
	Limit         *Bounds  `hcl:"limit,block" json:"limit,omitempty"`
	Organisations []Org    `hcl:"organisation,block" json:"organisations,omitempty"`
	Teams         []OfTeam `hcl:"team,block" json:"teams,omitempty"`
}

// OfTeam places a team in the tree and lists its classes. The team's guarantee and limit come from
// the platform.
type OfTeam struct {
	Name    string    `hcl:"name,label" json:"name"`
	Weight  *float64  `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow  *bool     `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend    *bool     `hcl:"lend,optional" json:"lend,omitempty"`
	Classes []OfClass `hcl:"class,block" json:"classes,omitempty"`
}

// OfClass is a job class of a team.
type OfClass struct {
	Name      string   `hcl:"name,label" json:"name"`
	Weight    *float64 `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow    *bool    `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend      *bool    `hcl:"lend,optional" json:"lend,omitempty"`
	Guarantee *Bounds  `hcl:"guarantee,block" json:"guarantee,omitempty"`
	Limit     *Bounds  `hcl:"limit,block" json:"limit,omitempty"`
}

// StoreKey is the key of the tree in force in the state service.
const StoreKey = "quota"

// Stored is the tree in force, as stored in the state service. Every decision has the revision of
// this record as a precondition, so that no decision based on an earlier tree is committed.
type Stored struct {
	Version int      `json:"v"`
	Number  int      `json:"n"`  // incremented by each change of the tree
	AtMs    int64    `json:"at"` // time of the change, Unix time in ms
	Doc     Document `json:"doc"`
}

// storedVersion is the version of the stored format.
const storedVersion = 1

// NewStored returns the record to store for a tree's document.
func NewStored(number int, atMs int64, document Document) Stored {
	return Stored{Version: storedVersion, Number: number, AtMs: atMs, Doc: document}
}

// Decode decodes a stored tree and checks its version.
func Decode(body []byte) (*Stored, error) {
	var stored Stored
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	if stored.Version != storedVersion {
		return nil, fmt.Errorf("unknown version %d of the quotas", stored.Version)
	}
	return &stored, nil
}
