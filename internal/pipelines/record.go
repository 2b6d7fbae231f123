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

// Key prefixes in the state service. When a run ends, its record moves from RunPrefix to
// EndedRunPrefix, so that a starting controller reads only live runs.
const (
	RunPrefix      = "run/"
	EndedRunPrefix = "ran/"
)

// ValidID reports whether an ID has the form of a run's ID: run- followed by 1 to 40 lower-case
// letters, digits or dashes.
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

// Record is a run's record, stored under either RunPrefix or EndedRunPrefix. Its steps correspond,
// in number and order, to those of its document's plan.
type Record struct {
	State      RunState
	AcceptedMs int64  // acceptance, wall-clock time in Unix ms
	EndMs      int64  // 0 while the run is live
	Checksum   string // of the document: a repeated submission must have the same checksum
	Salt       string // random; part of the input of its jobs' IDs, so that they can't be guessed and taken in advance
	Document   []byte // JSON
	Steps      []StepRun

	packedDoc json.RawMessage // the document in its stored form; it never changes
}

// Checksum returns the checksum of a document: a truncated BLAKE3 hash of its JSON, whose fields
// encoding/json has sorted.
func Checksum(doc []byte) string {
	sum := blake3.Sum256(doc)
	return hex.EncodeToString(sum[:16])
}

// jobIDContext is the key derivation context of job IDs. It separates them from other uses of the
// hash.
const jobIDContext = "harrierreel 2026-12-01 uid of a pipeline step's job"

// JobID returns the ID of a step's job: a MAC over run, step and attempt, keyed with the run's
// salt, in the form of a job ID with 18 digits. Every controller that submits the step derives the
// same ID, so that the job is accepted only once.
func JobID(id, salt, step string, attempt int) string {
	var key [32]byte
	blake3.DeriveKey(key[:], jobIDContext, []byte(salt))
	h := blake3.New(8, key[:])
	_, _ = h.Write(fmt.Appendf(nil, "%d:%s%d:%s%d", len(id), id, len(step), step, attempt)) // hash writes never fail
	return fmt.Sprintf("wk-%018d", binary.BigEndian.Uint64(h.Sum(nil))%1_000_000_000_000_000_000)
}

// NewRecord returns the record of a newly accepted run.
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

// MaxBytes returns an upper bound of the size of the run's record.
func (r *Record) MaxBytes() int {
	if r.packedDoc == nil {
		r.packedDoc = pack(r.Document)
	}
	return len(r.packedDoc) + len(r.Steps)*tuning.StepStateBytes + tuning.RunHeadBytes
}

// openSteps returns the number of steps that have not ended.
func (r *Record) openSteps() int {
	n := 0
	for i := range r.Steps {
		if !r.Steps[i].State.Ended() {
			n++
		}
	}
	return n
}
