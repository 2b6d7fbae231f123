package pipelines

import (
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"lukechampine.com/blake3"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Key prefixes in the state service. A run's record moves from the first to the
// second when it ends, so that a start reads only what lives.
const (
	RunPrefix      = "run/"
	EndedRunPrefix = "ran/"
)

// ValidID tells whether an ID has the form of runs' IDs: run- and 1 to 40 lower
// case letters, digits or dashes.
func ValidID(id string) bool {
	rest, ok := strings.CutPrefix(id, "run-")
	if !ok || len(rest) == 0 || len(rest) > 40 {
		return false
	}
	for _, c := range []byte(rest) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return true
}

// Record is a run as stored, once under RunPrefix or RanPrefix. Its steps are as many,
// and in the same order, as those of its document's plan.
type Record struct {
	State      RunState
	AcceptedMs int64  // acceptance, time of day
	EndMs      int64  // 0 while it lives
	Checksum   string // of the document: a repeated submission must have the same
	Salt       string // random; enters the IDs of its jobs, so that nobody takes one before
	Document   []byte // the document's JSON
	Steps      []StepRun

	packedDoc json.RawMessage // the document as stored; it never changes
}

// Checksum is what tells one document from another: BLAKE3 of its JSON, whose fields
// encoding/json has put in order.
func Checksum(doc []byte) string {
	sum := blake3.Sum256(doc)
	return hex.EncodeToString(sum[:16])
}

// jobIDContext separates these IDs from any other use of the hash.
const jobIDContext = "harrierreel 2026-12-01 uid of a pipeline step's job"

// JobID is the ID of a step's job: a MAC over run, step and repeat, keyed from
// the run's salt, in the form of job ids with 18 digits. Whoever submits the
// step derives the same, so that it is accepted once.
func JobID(id, salt, step string, repeat int) string {
	var key [32]byte
	blake3.DeriveKey(key[:], jobIDContext, []byte(salt))
	h := blake3.New(8, key[:])
	_, _ = h.Write(fmt.Appendf(nil, "%d:%s%d:%s%d", len(id), id, len(step), step, repeat)) // a hash never fails
	return fmt.Sprintf("wk-%018d", binary.BigEndian.Uint64(h.Sum(nil))%1_000_000_000_000_000_000)
}

// NewRecord is the record of a run as accepted.
func NewRecord(p *Plan, doc []byte, salt string, nowMs int64) *Record {
	r := &Record{
		State:      RunLive,
		AcceptedMs: nowMs,
		Checksum:   Checksum(doc),
		Salt:       salt,
		Document:   doc,
		Steps:      make([]StepRun, len(p.Steps)),
	}
	for i := range r.Steps {
		r.Steps[i].State = Waiting
	}
	return r
}

// MaxBytes is the most that a run's record may come to take.
func (r *Record) MaxBytes() int {
	if r.packedDoc == nil {
		r.packedDoc = pack(r.Document)
	}
	return len(r.packedDoc) + len(r.Steps)*tuning.StepStateBytes + tuning.RunHeadBytes
}

// openSteps counts the steps that have not ended.
func (r *Record) openSteps() int {
	n := 0
	for i := range r.Steps {
		if !r.Steps[i].State.Over() {
			n++
		}
	}
	return n
}
