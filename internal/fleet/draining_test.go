package fleet

import (
	"reflect"
	"testing"
)

func TestDrainStartsWithTheEmptiest(t *testing.T) {
	next, give, revived := DrainStep(Draining{}, []Idle{{"a", 0.5, 1}, {"b", 0.1, 1}, {"c", 0.9, 1}}, 2, 3, 2)
	if !reflect.DeepEqual(next, Draining{"a": 1, "b": 1}) || give != nil || revived != nil {
		t.Errorf("%v %v %v", next, give, revived)
	}
}

func TestDrainGivesTheEmptyAndRevivesTheRestAtTheEnd(t *testing.T) {
	now := Draining{"a": 1, "b": 2, "c": 3, "d": 3}
	idle := []Idle{{"a", 0, 1}, {"b", 0.2, 1}, {"c", 0.1, 1}, {"d", 0, 1}}
	next, give, revived := DrainStep(now, idle, 0, 3, 2)
	if !reflect.DeepEqual(next, Draining{"b": 3}) {
		t.Errorf("goes on: %v", next)
	}
	if !reflect.DeepEqual(give, []string{"a", "d"}) || !reflect.DeepEqual(revived, []string{"c"}) {
		t.Errorf("given %v, revived %v", give, revived)
	}
}

func TestRevivalOnlyInTheFirstTwoSteps(t *testing.T) {
	now := Draining{"a": 1, "b": 2, "c": 3}
	idle := []Idle{{"a", 0.1, 1}, {"b", 0.3, 1}, {"c", 0, 1}}
	_, give, revived := DrainStep(now, idle, -1, 3, 2)
	if !reflect.DeepEqual(revived, []string{"b"}) {
		t.Errorf("one machine is short, the fullest is revived: %v", revived)
	}
	if !reflect.DeepEqual(give, []string{"c"}) {
		t.Errorf("the third step knows no revival: %v", give)
	}
	next, _, revived := DrainStep(now, idle, -5, 3, 2)
	if len(revived) != 2 || len(next) != 0 {
		t.Errorf("revived %v, next %v", revived, next)
	}
}

func TestDrainForgetsUnknownMachines(t *testing.T) {
	next, give, _ := DrainStep(Draining{"gone": 2}, nil, 0, 3, 2)
	if len(next) != 0 || give != nil {
		t.Errorf("%v %v", next, give)
	}
}
