package quota

import (
	"fmt"
	"os"
	"testing"

	"github.com/harrierreel/harrierreel/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m)) }

func gpus(n float64) Amount { return Of(0, n, 0) }

func one(v float64) *float64 { return &v }

func no() *bool {
	v := false
	return &v
}

// world has two organisations. Kenya: storefront 8 and pricing 4 of 16 guaranteed,
// 20 at most, pricing with classes. Italia: stazioni 6 of 10 guaranteed. 40 in all
// are left to the platform's limits.
func world(t interface {
	Helper()
	Fatal(...any)
},
) *Tree {
	t.Helper()
	teams := map[string]Team{
		"storefront": {Name: "storefront", Guaranteed: gpus(8), Max: gpus(18)},
		"pricing":    {Name: "pricing", Guaranteed: gpus(4), Max: gpus(12)},
		"stazioni":   {Name: "stazioni", Guaranteed: gpus(6)},
		"lone":       {Name: "lone"},
	}
	tree, faults := Build(&Document{Organisations: []Org{
		{
			Name:      "kenya",
			Guarantee: &Bounds{Accelerators: 16},
			Limit:     &Bounds{Accelerators: 20},
			Weight:    one(2),
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

// leaves is a tree of 1,000 leaves on three levels.
func leaves(b testing.TB) (*Tree, []Key) {
	teams := map[string]Team{}
	d := &Document{}
	var keys []Key
	for o := range 10 {
		org := Org{Name: fmt.Sprint("o", o)}
		for i := range 10 {
			name := fmt.Sprintf("t%d-%d", o, i)
			teams[name] = Team{Name: name, Guaranteed: gpus(1), Max: gpus(50)}
			team := OfTeam{Name: name}
			for k := range 10 {
				class := fmt.Sprint("c", k)
				team.Classes = append(team.Classes, OfClass{Name: class})
				keys = append(keys, Key{name, class})
			}
			org.Teams = append(org.Teams, team)
		}
		d.Organisations = append(d.Organisations, org)
	}
	tree, faults := Build(d, teams, nil)
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return tree, keys
}
