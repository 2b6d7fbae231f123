package lending

import (
	"reflect"
	"strings"
	"testing"

	"github.com/harrierreel/harrierreel/internal/goldentest"
)

func TestGoldenLoanRecord(t *testing.T) {
	full := LoanRecord{Loans: []Loan{
		{
			ID:        1,
			State:     Recalled,
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
		{ID: 2, State: Requested, Job: "wk-4", Machine: "m-2", From: []Share{{}}},
	}}
	goldentest.RequireNonZeroFields(t, full)
	for name, record := range map[string]LoanRecord{
		"loan.json":       full,
		"loan-least.json": {},
		"loan-none.json":  {Loans: []Loan{}},
	} {
		goldentest.JSON(t, name, record)
		decoded, err := Decode(goldentest.Read(t, name))
		if err != nil || !reflect.DeepEqual(*decoded, record) {
			t.Errorf("%s: decoded %+v, %v", name, decoded, err)
		}
	}
}

func TestGoldenKeysAndStates(t *testing.T) {
	values := []string{Prefix, RecordKey(3)}
	for _, s := range []State{Wanted, Requested, Vacated, Lent, Recalled, Returned, BrokenOff} {
		values = append(values, string(s))
	}
	goldentest.Bytes(t, "words.txt", []byte(strings.Join(values, "\n")+"\n"))
}
