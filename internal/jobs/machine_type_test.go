package jobs

import (
	"testing"

	"github.com/harrierreel/harrierreel/internal/quota"
)

func TestCanEverRun(t *testing.T) {
	machineTypes := map[string]*MachineType{
		"g4": {Name: "g4", Cores: 8, Accelerators: 4, MemoryGB: 64, Zones: []string{"a"}},
	}
	tree := quota.Flat(map[string]quota.Team{"t": {Name: "t", Limit: quota.NewAmount(0, 4, 0)}})
	base := Spec{Team: "t", Kind: JobArray, TaskCount: 9, Cores: 1, Accelerators: 1, MemoryGB: 1}
	for name, c := range map[string]struct {
		change func(*Spec)
		ok     bool
	}{
		"array needs quota for one task":    {func(*Spec) {}, true},
		"gang needs quota for all tasks":    {func(s *Spec) { s.Kind = Gang }, false},
		"service needs quota for all tasks": {func(s *Spec) { s.Kind, s.TaskCount = Service, 4 }, true},
		"unknown team":                      {func(s *Spec) { s.Team = "x" }, false},
		"unknown machine type":              {func(s *Spec) { s.MachineTypes = []string{"g9"} }, false},
		"machine type not in the zone":      {func(s *Spec) { s.Zone = "b" }, false},
		"too large for any machine":         {func(s *Spec) { s.Accelerators = 5 }, false},
	} {
		s := base
		c.change(&s)
		if reason := CanEverRun(&s, tree, machineTypes); (reason == "") != c.ok {
			t.Errorf("%s: %q", name, reason)
		}
	}
}
