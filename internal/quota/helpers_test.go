package quota

import (
	"fmt"
	"os"
	"testing"

	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func gpus(n float64) Amount { return NewAmount(0, n, 0) }

func number(value float64) *float64 { return &value }

func no() *bool {
	value := false
	return &value
}

// twoOrganisations returns a tree of two organisations, with guarantees and limits in accelerators.
// Organisation kenya has a guarantee of 16, of which storefront has 8 and pricing 4, and a limit of
// 20; pricing has classes. Organisation italia has a guarantee of 10, of which stazioni has 6. Team
// lone is in no organisation and has neither guarantee nor limit. The root has no limit.
func twoOrganisations(t interface {
	Helper()
	Fatal(...any)
},
) *Tree {
	t.Helper()
	teams := map[string]Team{
		"storefront": {Name: "storefront", Guaranteed: gpus(8), Limit: gpus(18)},
		"pricing":    {Name: "pricing", Guaranteed: gpus(4), Limit: gpus(12)},
		"stazioni":   {Name: "stazioni", Guaranteed: gpus(6)},
		"lone":       {Name: "lone"},
	}
	tree, faults := Build(&Document{Organisations: []Org{
		{
			Name:      "kenya",
			Guarantee: &Bounds{Accelerators: 16},
			Limit:     &Bounds{Accelerators: 20},
			Weight:    number(2),
			Teams: []OfTeam{
				{Name: "storefront"},
				{
					Name: "pricing",
					Classes: []OfClass{
						{Name: "sweep", Guarantee: &Bounds{Accelerators: 2}, Limit: &Bounds{Accelerators: 6}},
						{Name: "audit", Borrow: no(), Lend: no(), Guarantee: &Bounds{Accelerators: 1}},
					},
				},
			},
		},
		{Name: "italia", Guarantee: &Bounds{Accelerators: 10}, Teams: []OfTeam{{Name: "stazioni"}}},
	}}, teams, nil)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return tree
}

// thousandLeaves returns a tree with 1,000 leaves on the third level, and their keys.
func thousandLeaves(tb testing.TB) (*Tree, []Key) {
	tb.Helper()
	teams := map[string]Team{}
	document := &Document{}
	var keys []Key
	for o := range 10 {
		org := Org{Name: fmt.Sprint("o", o)}
		for i := range 10 {
			name := fmt.Sprintf("t%d-%d", o, i)
			teams[name] = Team{Name: name, Guaranteed: gpus(1), Limit: gpus(50)}
			team := OfTeam{Name: name}
			for k := range 10 {
				class := fmt.Sprint("c", k)
				team.Classes = append(team.Classes, OfClass{Name: class})
				keys = append(keys, Key{name, class})
			}
			org.Teams = append(org.Teams, team)
		}
		document.Organisations = append(document.Organisations, org)
	}
	tree, faults := Build(document, teams, nil)
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	return tree, keys
}
