package quota

import (
	"reflect"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func storedDocument() Document {
	grace, weight, yes := 30.5, 2.5, true
	bounds := func(by float64) *Bounds { return &Bounds{Cores: by + 0.5, Accelerators: by + 1, MemoryGB: by + 2} }
	teams := []OfTeam{{Name: "vision", Weight: &weight, Borrow: &yes, Lend: &yes, Classes: []OfClass{
		{Name: "train", Weight: &weight, Borrow: &yes, Lend: &yes, Guarantee: bounds(10), Limit: bounds(20)},
	}}}
	return Document{
		GraceS: &grace,
		Organisations: []Org{{
			Name: "research", Weight: &weight, Borrow: &yes, Lend: &yes, Guarantee: bounds(100), Limit: bounds(200),
			Organisations: []Org{{Name: "labs", Teams: []OfTeam{{Name: "speech"}}}}, Teams: teams,
		}},
		Teams: teams,
	}
}

func TestGoldenStored(t *testing.T) {
	full := NewStored(3, 1700000000001, storedDocument())
	goldentest.RequireNonZeroFields(t, full)
	no, zero := false, 0.0
	for name, s := range map[string]Stored{
		"quota.json":       full,
		"quota-least.json": NewStored(0, 0, Document{}),
		"quota-zeros.json": NewStored(1, 0, Document{
			GraceS:        &zero,
			Organisations: []Org{{Weight: &zero, Borrow: &no, Lend: &no, Guarantee: &Bounds{}}},
		}),
	} {
		goldentest.JSON(t, name, s)
		if back, err := Decode(goldentest.Read(t, name)); err != nil || !reflect.DeepEqual(*back, s) {
			t.Errorf("%s: decoded %+v, %v", name, back, err)
		}
	}
	goldentest.Bytes(t, "keys.txt", []byte(StoreKey+"\n"))
}
