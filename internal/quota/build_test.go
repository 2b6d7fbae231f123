package quota

import (
	"fmt"
	"strings"
	"testing"
)

func TestBuildListsEveryFault(t *testing.T) {
	teams := map[string]Team{
		"a": {Name: "a", Guaranteed: gpus(5)},
		"b": {Name: "b", Guaranteed: gpus(5)},
		"c": {Name: "c"},
	}
	deep := Org{Name: "d8"}
	for i := 7; i > 0; i-- {
		deep = Org{Name: fmt.Sprint("d", i), Organisations: []Org{deep}}
	}
	document := &Document{
		GraceS: number(-1),
		Organisations: []Org{
			{
				Name:      "x",
				Guarantee: &Bounds{Accelerators: 9},
				Limit:     &Bounds{Accelerators: 8, Cores: -1},
				Weight:    number(0),
				Teams:     []OfTeam{{Name: "a"}, {Name: "b"}, {Name: "nobody"}},
			},
			{Name: "x", Teams: []OfTeam{{Name: "a"}}},
			{Name: "y/z"},
			deep,
		},
		Teams: []OfTeam{{
			Name:    "c",
			Classes: []OfClass{{Name: "sweep"}, {Name: "sweep"}, {Name: "ghost"}},
		}},
	}
	_, faults := Build(document, teams, []string{"sweep", "lens"})
	text := strings.Join(faults, "\n")
	for _, want := range []string{
		"grace_s: -1 is outside",
		"x.limit.cores: expected",
		"x.weight: expected",
		"x: its limit of 8 accelerators is below its guarantee of 9",
		"x/nobody: no team is called",
		"x: organisation \"x\" stands elsewhere",
		"x/a: team \"a\" stands elsewhere",
		"y/z: expected a name",
		"expected at most 8 levels",
		"c/sweep: class \"sweep\" stands here twice",
		"c/ghost: no class is called \"ghost\"; expected one of sweep, lens",
		"x: its children are guaranteed 10 accelerators, above its guarantee of 9",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("fault not reported: %s", want)
		}
	}
	if len(faults) != 12 {
		t.Errorf("%d faults, want 12:\n%s", len(faults), text)
	}
}
