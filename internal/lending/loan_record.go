package lending

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Prefix is the prefix of the keys of loan records in the state service.
const Prefix = "loan/"

// LoanRecord is one value in the state service. It holds many loans, so that the changes of several
// loans need only one write. A loan stays in the record in which it began.
type LoanRecord struct {
	Loans []Loan `json:"l"`
}

// RecordKey returns the key of the loan record with a number.
func RecordKey(number int) string { return Prefix + strconv.Itoa(number) }

// RecordNumber returns the number of the loan record with a key, and false if no loan record has
// the key.
func RecordNumber(key string) (int, bool) {
	digits, found := strings.CutPrefix(key, Prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0 && number < tuning.LoanRecords && RecordKey(number) == key
}

// Decode decodes a loan record and checks it. The error names the first invalid loan.
func Decode(value []byte) (*LoanRecord, error) {
	var record LoanRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode loan record: %w", err)
	}
	seen := map[int]bool{}
	for i := range record.Loans {
		loan := &record.Loans[i]
		if !loan.State.stored() {
			return nil, fmt.Errorf("decode loan record: loan %d has unknown state %q", loan.ID, loan.State)
		}
		if seen[loan.ID] || !loan.complete() {
			return nil, fmt.Errorf("decode loan record: loan %d is incomplete", loan.ID)
		}
		seen[loan.ID] = true
	}
	return &record, nil
}

// complete reports whether a stored loan has all that is needed to advance it.
func (l *Loan) complete() bool {
	return l.Machine != "" && jobs.ValidID(l.Job) && l.TaskIndex >= 0 && l.GPUs >= 0 && len(l.From) > 0
}

// withoutExpired returns a copy of a record without the loans that are over and began longer ago
// than the retention.
func (r *LoanRecord) withoutExpired(nowMs int64, retention time.Duration) *LoanRecord {
	expired := func(loan Loan) bool {
		return loan.State.Final() && nowMs-loan.BeganMs > retention.Milliseconds()
	}
	return &LoanRecord{Loans: slices.DeleteFunc(slices.Clone(r.Loans), expired)}
}

// hasSpace reports whether a record can take one more loan within the size limit of a value. It
// leaves space for the growth of the record when its loans change.
func (r *LoanRecord) hasSpace(limitBytes int) bool {
	return len(r.Loans) < tuning.MaxLoansPerRecord &&
		len(jobs.Encode(r)) < int(tuning.LoanRecordFillShare*float64(limitBytes))
}
