package quota

import (
	"encoding/json"
	"fmt"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Document is the tree around the platform's teams, as operators write it (HCL)
// and as it is kept in the state service (JSON).
type Document struct {
	// GraceS, in seconds: for so long after a change of the tree, what is over a
	// limit may end by itself before it is stopped. Nil: tuning.QuotaGrace.
	GraceS        *float64 `hcl:"grace_s,optional" json:"grace_s,omitempty"`
	Organisations []Org    `hcl:"organisation,block" json:"organisations,omitempty"`
	Teams         []OfTeam `hcl:"team,block" json:"teams,omitempty"`
}

// Grace is how long, in seconds, what is over a limit may end by itself before it is stopped.
func (d *Document) Grace() float64 {
	if d.GraceS != nil {
		return *d.GraceS
	}
	return tuning.QuotaGrace.Seconds()
}

// Bounds are amounts of cores, accelerators and GB of memory, as a guarantee, a limit or a use
// is written. Its name is part of answers to operators.
type Bounds struct {
	Cores        float64 `hcl:"cores,optional" json:"cores,omitempty"`
	Accelerators float64 `hcl:"accelerators,optional" json:"accelerators,omitempty"`
	MemoryGB     float64 `hcl:"memory_gb,optional" json:"memory_gb,omitempty"`
}

func toBounds(amount Amount) Bounds {
	cores, accelerators, memoryGB := amount.Float()
	return Bounds{Cores: cores, Accelerators: accelerators, MemoryGB: memoryGB}
}

// Org is an organisation of other organisations and of teams. Its name, and those of OfTeam
// and OfClass, are part of answers to operators.
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

// OfTeam is a team's place in the tree, and its classes. Its guarantee and limit are the
// platform's.
type OfTeam struct {
	Name    string    `hcl:"name,label" json:"name"`
	Weight  *float64  `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow  *bool     `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend    *bool     `hcl:"lend,optional" json:"lend,omitempty"`
	Classes []OfClass `hcl:"class,block" json:"classes,omitempty"`
}

// OfClass is a class of jobs of a team.
type OfClass struct {
	Name      string   `hcl:"name,label" json:"name"`
	Weight    *float64 `hcl:"weight,optional" json:"weight,omitempty"`
	Borrow    *bool    `hcl:"borrow,optional" json:"borrow,omitempty"`
	Lend      *bool    `hcl:"lend,optional" json:"lend,omitempty"`
	Guarantee *Bounds  `hcl:"guarantee,block" json:"guarantee,omitempty"`
	Limit     *Bounds  `hcl:"limit,block" json:"limit,omitempty"`
}

// StoreKey is where the state service keeps the tree that is in force.
const StoreKey = "quota"

// Stored is the tree in force as kept in the state service. Every decision has its revision
// as a precondition, so that none is made by a former tree.
type Stored struct {
	Version int      `json:"v"`
	Number  int      `json:"n"`  // counts the changes
	AtMs    int64    `json:"at"` // of the change, Unix time in ms
	Doc     Document `json:"doc"`
}

// storedVersion is the form in which trees are stored.
const storedVersion = 1

// NewStored is a tree's document as it is to be stored.
func NewStored(number int, atMs int64, document Document) Stored {
	return Stored{Version: storedVersion, Number: number, AtMs: atMs, Doc: document}
}

// Decode reads a stored tree.
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
