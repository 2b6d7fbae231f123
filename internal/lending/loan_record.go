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

// LoanRecord is one value of the state service. It holds many loans, so that changes of several
// are one write. A loan stays in the record in which it began.
type LoanRecord struct {
	Loans []Loan `json:"l"`
}

// RecordKey is the key of the loan record with a number.
func RecordKey(number int) string { return Prefix + strconv.Itoa(number) }

// RecordNumber is the inverse of RecordKey; false for a key that no loan record has.
func RecordNumber(key string) (int, bool) {
	digits, found := strings.CutPrefix(key, Prefix)
	if !found {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0 && number < tuning.LoanRecords && RecordKey(number) == key
}

// Decode reads a loan record and checks it. The error names the first loan that is wrong.
func Decode(value []byte) (*LoanRecord, error) {
	var record LoanRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode loan record: %w", err)
	}
	known := map[int]bool{}
	for i := range record.Loans {
		loan := &record.Loans[i]
		if !loan.State.stored() {
			return nil, fmt.Errorf("decode loan record: loan %d has unknown state %q", loan.ID, loan.State)
		}
		if known[loan.ID] || !loan.complete() {
			return nil, fmt.Errorf("decode loan record: loan %d is incomplete", loan.ID)
		}
		known[loan.ID] = true
	}
	return &record, nil
}

// complete tells whether a stored loan says all that is needed to advance it.
func (l *Loan) complete() bool {
	return l.Machine != "" && jobs.ValidID(l.Job) && l.TaskIndex >= 0 && l.GPUs >= 0 && len(l.From) > 0
}

// withoutExpired is a record without the loans that are over and began longer ago than a time.
func (r *LoanRecord) withoutExpired(nowMs int64, retention time.Duration) *LoanRecord {
	expired := func(loan Loan) bool {
		return loan.State.Over() && nowMs-loan.BeganMs > retention.Milliseconds()
	}
	return &LoanRecord{Loans: slices.DeleteFunc(slices.Clone(r.Loans), expired)}
}

// hasRoom tells whether a record can take one more loan, and grow with the changes of its loans
// after that, within the limit of a value in bytes.
func (r *LoanRecord) hasRoom(limitBytes int) bool {
	return len(r.Loans) < tuning.MaxLoansPerRecord &&
		len(jobs.Encode(r)) < int(tuning.LoanRecordFillShare*float64(limitBytes))
}
