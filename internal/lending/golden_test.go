package lending

import (
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenSheet(t *testing.T) {
	full := LoanRecord{Loans: []Loan{
		{
			ID:        1,
			State:     CalledBack,
			Job:       "wk-1",
			TaskIndex: 2,
			Machine:   "m-1",
			From:      []Share{{Job: "wk-2", GPUs: 0.5, Tasks: 3}, {Job: "wk-3", GPUs: 1, Tasks: 1}},
			GPUs:      1.5,
			BeganMs:   1700000000001,
			SinceMs:   1700000000002,
			FreeMs:    1700000000003,
			Reason:    "the replica ended",
		},
		{ID: 2, State: Asked, Job: "wk-4", Machine: "m-2", From: []Share{{}}},
	}}
	goldentest.Filled(t, full)
	for name, s := range map[string]LoanRecord{"loan.json": full, "loan-least.json": {}, "loan-none.json": {Loans: []Loan{}}} {
		goldentest.JSON(t, name, s)
		if back, err := Decode(goldentest.Read(t, name)); err != nil || !reflect.DeepEqual(*back, s) {
			t.Errorf("%s: read %+v, %v", name, back, err)
		}
	}
}

func TestGoldenWords(t *testing.T) {
	words := []string{Prefix, RecordKey(3)}
	for _, s := range []State{Wanted, Asked, Vacated, Lent, CalledBack, Returned, BrokenOff} {
		words = append(words, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(words, "\n")+"\n"))
}
