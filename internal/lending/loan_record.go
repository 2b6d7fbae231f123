package lending

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Prefix is the prefix of the sheets in the state service.
const Prefix = "loan/"

// LoanRecord is one value of the shared state: many loans, so that a change of several is
// one. A loan stays on the sheet on which it began.
type LoanRecord struct {
	Loans []Loan `json:"l"`
}

// RecordKey is the key of a sheet.
func RecordKey(sheet int) string { return Prefix + strconv.Itoa(sheet) }

// RecordNumber is the inverse of Key; false for a key that none has.
func RecordNumber(key string) (int, bool) {
	if len(key) <= len(Prefix) || key[:len(Prefix)] != Prefix {
		return 0, false
	}
	n, err := strconv.Atoi(key[len(Prefix):])
	return n, err == nil && n >= 0 && n < tuning.LoanRecords && RecordKey(n) == key
}

// Decode reads a sheet and checks it. An error names the first fault.
func Decode(b []byte) (*LoanRecord, error) {
	var s LoanRecord
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	seen := map[int]bool{}
	for i := range s.Loans {
		l := &s.Loans[i]
		switch l.State {
		case Asked, Vacated, Lent, CalledBack, Returned, BrokenOff:
		default:
			return nil, fmt.Errorf("loan %d has unknown state %q", l.ID, l.State)
		}
		if seen[l.ID] || l.Machine == "" || !jobs.ValidID(l.Job) || l.TaskIndex < 0 || l.GPUs < 0 || len(l.From) == 0 {
			return nil, fmt.Errorf("loan %d is not whole", l.ID)
		}
		seen[l.ID] = true
	}
	return &s, nil
}

// withoutExpired drops the loans that are over and no longer remembered.
func (s *LoanRecord) withoutExpired(nowMs int64, again time.Duration) *LoanRecord {
	return &LoanRecord{Loans: slices.DeleteFunc(slices.Clone(s.Loans), func(l Loan) bool {
		return l.State.Over() && nowMs-l.BeganMs > again.Milliseconds()
	})}
}

// hasRoom tells whether a sheet can take a loan more, and be changed after that.
func (s *LoanRecord) hasRoom(limit int) bool {
	return len(s.Loans) < tuning.MaxLoansPerRecord && len(jobs.Encode(s)) < int(tuning.LoanRecordFillShare*float64(limit))
}
