package fleet

import (
	"reflect"
	"testing"
)

func TestDrainStartsWithEmptiestMachines(t *testing.T) {
	candidates := []DrainCandidate{{"a", 0.5, 1}, {"b", 0.1, 1}, {"c", 0.9, 1}}
	next, emptied, revived := DrainStep(Draining{}, candidates, 2, 3, 2)
	if !reflect.DeepEqual(next, Draining{"a": 1, "b": 1}) || emptied != nil || revived != nil {
		t.Errorf("next %v, emptied %v, revived %v", next, emptied, revived)
	}
}

func TestDrainDeletesEmptyMachinesAndRevivesOthersAfterLastStage(t *testing.T) {
	current := Draining{"a": 1, "b": 2, "c": 3, "d": 3}
	candidates := []DrainCandidate{{"a", 0, 1}, {"b", 0.2, 1}, {"c", 0.1, 1}, {"d", 0, 1}}
	next, emptied, revived := DrainStep(current, candidates, 0, 3, 2)
	if !reflect.DeepEqual(next, Draining{"b": 3}) {
		t.Errorf("machines that continue draining: %v", next)
	}
	if !reflect.DeepEqual(emptied, []string{"a", "d"}) || !reflect.DeepEqual(revived, []string{"c"}) {
		t.Errorf("emptied %v, revived %v", emptied, revived)
	}
}

func TestDrainRevivesForShortageOnlyInFirstTwoStages(t *testing.T) {
	current := Draining{"a": 1, "b": 2, "c": 3}
	candidates := []DrainCandidate{{"a", 0.1, 1}, {"b", 0.3, 1}, {"c", 0, 1}}
	_, emptied, revived := DrainStep(current, candidates, -1, 3, 2)
	if !reflect.DeepEqual(revived, []string{"b"}) {
		t.Errorf("one machine is short, so the fullest should be revived: %v", revived)
	}
	if !reflect.DeepEqual(emptied, []string{"c"}) {
		t.Errorf("no machine should be revived for a shortage in the third stage: %v", emptied)
	}
	next, _, revived := DrainStep(current, candidates, -5, 3, 2)
	if len(revived) != 2 || len(next) != 0 {
		t.Errorf("revived %v, next %v", revived, next)
	}
}

func TestDrainForgetsUnknownMachines(t *testing.T) {
	next, emptied, _ := DrainStep(Draining{"gone": 2}, nil, 0, 3, 2)
	if len(next) != 0 || emptied != nil {
		t.Errorf("next %v, emptied %v", next, emptied)
	}
}
