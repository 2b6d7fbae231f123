package quota

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func yes() *bool {
	value := true
	return &value
}

// documentWithAllFields returns a document in which every field is set.
func documentWithAllFields() Document {
	low, high := &Bounds{Cores: 20.5, Accelerators: 5, MemoryGB: 100}, &Bounds{Cores: 60, Accelerators: 7, MemoryGB: 300}
	classes := []OfClass{
		{
			Name:      "sweep",
			Weight:    number(4),
			Borrow:    yes(),
			Lend:      yes(),
			Guarantee: &Bounds{Cores: 3, Accelerators: 1, MemoryGB: 12},
			Limit:     &Bounds{Cores: 9, Accelerators: 2, MemoryGB: 36},
		},
	}
	return Document{
		GraceS: number(45),
		Organisations: []Org{{
			Name: "kenya", Weight: number(2), Borrow: yes(), Lend: yes(), Guarantee: low, Limit: high,
			Organisations: []Org{{Name: "nairobi", Borrow: no(), Lend: no()}},
			Teams:         []OfTeam{{Name: "pricing", Weight: number(3), Borrow: yes(), Lend: yes(), Classes: classes}},
		}},
		Teams: []OfTeam{{Name: "lone", Weight: number(1.25), Borrow: yes(), Lend: yes(), Classes: classes}},
	}
}

// checkGoldenJSON checks that a value encodes to its golden file and that the file decodes to the
// value.
func checkGoldenJSON[T any](t *testing.T, name string, want T) {
	t.Helper()
	goldentest.JSON(t, name, want)
	var got T
	if err := json.Unmarshal(goldentest.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded %+v, want %+v: %v", name, got, want, err)
	}
}

// TestGoldenMessages checks that the JSON of requests from operators and of responses to them stays
// the same, byte for byte.
func TestGoldenMessages(t *testing.T) {
	full := Apply{Base: 7, DryRun: true, Quotas: documentWithAllFields()}
	goldentest.RequireNonZeroFields(t, full)
	checkGoldenJSON(t, "apply-full.json", full)
	checkGoldenJSON(t, "apply-lean.json", Apply{Base: 1})
	teams := map[string]Team{"pricing": {Name: "pricing"}, "lone": {Name: "lone"}}
	request, _, refused := ParseApply(goldentest.Read(t, "apply-full.json"), teams, nil)
	if refused != nil || !reflect.DeepEqual(*request, full) {
		t.Errorf("parsed as %+v: %+v", request, refused)
	}
	refusal := Refusal{Error: "2 faults in the quotas", Faults: []string{"kenya: wrong", "italia: wrong"}}
	preview := Preview{
		Number: 7,
		Over:   []Over{{Path: "kenya", By: Bounds{Cores: 1.5, Accelerators: 2, MemoryGB: 3}}},
		Stops:  []PreviewStop{{Task: "wk-000001/0", Path: "kenya"}},
	}
	bound := Bounds{Cores: 1.5, Accelerators: 2, MemoryGB: 3}
	view := View{
		Path:       "kenya/pricing",
		Kind:       Organisation,
		Depth:      2,
		Used:       bound,
		Guaranteed: bound,
		Limit:      bound,
		Borrowed:   bound,
		Lent:       bound,
		Weight:     2.5,
		Waiting:    4,
		Why:        "at its limit",
	}
	tree := ShownTree{Number: 7, Nodes: []View{view, {}}}
	goldentest.RequireNonZeroFields(t, refusal)
	goldentest.RequireNonZeroFields(t, preview)
	goldentest.RequireNonZeroFields(t, tree)
	checkGoldenJSON(t, "refusal-full.json", refusal)
	checkGoldenJSON(t, "refusal-lean.json", Refusal{})
	checkGoldenJSON(t, "preview-full.json", preview)
	checkGoldenJSON(t, "preview-lean.json", Preview{})
	checkGoldenJSON(t, "tree.json", tree)
	goldentest.Bytes(t, "tree-lines.json", EncodeTree(tree.Number, tree.Nodes))
	var back ShownTree
	if err := json.Unmarshal(goldentest.Read(t, "tree-lines.json"), &back); err != nil || !reflect.DeepEqual(back, tree) {
		t.Errorf("the encoded tree was decoded as %+v: %v", back, err)
	}
}

// TestGoldenTreeViewAndFaults checks that the view of a tree with usage, and the reported faults of
// a document, stay the same.
func TestGoldenTreeViewAndFaults(t *testing.T) {
	account := NewAccount(twoOrganisations(t))
	account.Charge(Key{Team: "pricing", Class: "sweep"}, NewAmount(2, 1, 8), 7)
	account.Charge(Key{Team: "storefront", Class: "x"}, NewAmount(1, 1, 1), 3)
	goldentest.Bytes(
		t,
		"world.json",
		EncodeTree(3, account.Views(map[int]int{account.tree.Leaf(Key{Team: "pricing", Class: "sweep"}): 5})),
	)
	over, err := json.Marshal(account.Excesses())
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "excesses.json", over)
	negative := number(-1)
	_, faults := Build(&Document{GraceS: negative, Organisations: []Org{
		{
			Name:      "1st",
			Weight:    negative,
			Guarantee: &Bounds{Cores: 9, Accelerators: -1},
			Limit:     &Bounds{Cores: 1, MemoryGB: 1e10},
			Teams:     []OfTeam{{Name: "nobody"}, {Name: "t"}, {Name: "t"}},
		},
		{Name: "1st"},
		{
			Name: "a",
			Teams: []OfTeam{
				{
					Name:    "u",
					Weight:  negative,
					Classes: []OfClass{{Name: "z", Weight: negative, Limit: &Bounds{Accelerators: -1}}, {Name: "c"}, {Name: "c"}},
				},
			},
		},
	}}, map[string]Team{"t": {Name: "t", Guaranteed: gpus(2)}, "u": {Name: "u"}}, []string{"c"})
	goldentest.Bytes(t, "faults.txt", []byte(strings.Join(faults, "\n")+"\n"))
}
