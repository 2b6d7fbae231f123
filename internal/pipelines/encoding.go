package pipelines

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/harrierreel/harrierreel/internal/compression"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// causes defines the numbers of the causes in stored records. New causes must be appended, and the
// order must not change.
var causes = []Cause{
	NoCause,
	WhenFalse,
	WhenBroken,
	TimedOut,
	InDoubt,
	JobAborted,
	RunAborted,
	NeverRuns,
	JobIDTaken,
	JobNotFound,
}

// recordVersion is the format version of stored runs.
const recordVersion = 1

// stored is the JSON form of a run's record. Doc and Steps are packed.
type stored struct {
	Version int             `json:"v"`
	State   RunState        `json:"s"`
	AtMs    int64           `json:"at"`
	EndMs   int64           `json:"end,omitempty"`
	Sum     string          `json:"sum"`
	Salt    string          `json:"salt"`
	Doc     json.RawMessage `json:"doc"`
	Steps   string          `json:"t"`
}

var codec = compression.New(tuning.MaxUnpacked, compression.SmallRecords...)

// pack returns the shorter one of two JSON forms of b, which is JSON itself: b as it is, or a
// string with the compressed b in base64.
func pack(b []byte) json.RawMessage {
	encoder, _ := codec()
	compressed := base64.StdEncoding.EncodeToString(encoder.EncodeAll(b, nil))
	if len(compressed)+2 >= len(b) {
		return b
	}
	return json.RawMessage(`"` + compressed + `"`)
}

func unpack(v json.RawMessage) ([]byte, error) {
	if len(v) == 0 || v[0] != '"' {
		return v, nil
	}
	var text string
	if err := json.Unmarshal(v, &text); err != nil {
		return nil, err
	}
	return unpackText(text)
}

func unpackText(text string) ([]byte, error) {
	compressed, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	_, decoder := codec()
	return decoder.DecodeAll(compressed, nil)
}

// stepStates defines the numbers of the step states in stored records. New states must be appended,
// and the order must not change.
var stepStates = []StepState{
	Waiting,
	Ready,
	Submitted,
	Running,
	Succeeded,
	Failed,
	Skipped,
	Cancelling,
	Cancelled,
}

// packSteps encodes and compresses the steps of a run. States and causes are written as numbers,
// and times in ms relative to the acceptance of the run or of the step's job.
func packSteps(steps []StepRun, atMs int64) string {
	var b []byte
	for _, s := range steps {
		start := max(s.AcceptedMs, atMs)
		b = append(b, byte(slices.Index(stepStates, s.State)), byte(slices.Index(causes, s.Cause)))
		b = binary.AppendUvarint(b, uint64(s.Attempt))
		b = binary.AppendUvarint(b, packTime(s.AcceptedMs, atMs))
		b = binary.AppendUvarint(b, packTime(s.EndMs, start))
		b = binary.AppendUvarint(b, packTime(s.DoubtedSinceMs, start))
	}
	encoder, _ := codec()
	return base64.StdEncoding.EncodeToString(encoder.EncodeAll(b, nil))
}

// packTime returns a time relative to fromMs, plus one so that 0 stands for an unset time. A time
// before fromMs is encoded as fromMs.
func packTime(ms, fromMs int64) uint64 {
	if ms == 0 {
		return 0
	}
	return uint64(max(ms-fromMs, 0)) + 1
}

// unpackTime is the inverse of packTime.
func unpackTime(packed uint64, fromMs int64) int64 {
	if packed == 0 {
		return 0
	}
	return fromMs + int64(packed) - 1
}

var errSteps = errors.New("steps of a run can't be read")

func unpackSteps(text string, atMs int64) ([]StepRun, error) {
	b, err := unpackText(text)
	if err != nil {
		return nil, err
	}
	var out []StepRun
	for len(b) > 0 {
		if len(out) == tuning.MaxSteps {
			return nil, errSteps
		}
		var step StepRun
		if step, b, err = unpackStep(b, atMs); err != nil {
			return nil, err
		}
		out = append(out, step)
	}
	return out, nil
}

// unpackStep decodes one step and returns the remaining bytes.
func unpackStep(b []byte, atMs int64) (StepRun, []byte, error) {
	if len(b) < 2 || int(b[0]) >= len(stepStates) || int(b[1]) >= len(causes) {
		return StepRun{}, nil, errSteps
	}
	s := StepRun{State: stepStates[b[0]], Cause: causes[b[1]]}
	b = b[2:]
	var numbers [4]uint64
	for i := range numbers {
		value, size := binary.Uvarint(b)
		if size <= 0 || value > maxPackedNumber {
			return StepRun{}, nil, errSteps
		}
		numbers[i] = value
		b = b[size:]
	}
	s.Attempt = int(numbers[0])
	s.AcceptedMs = unpackTime(numbers[1], atMs)
	start := max(s.AcceptedMs, atMs)
	s.EndMs = unpackTime(numbers[2], start)
	s.DoubtedSinceMs = unpackTime(numbers[3], start)
	return s, b, nil
}

// maxPackedNumber bounds attempt numbers and times in ms, so that their sums with wall-clock times
// fit into 64 bits.
const maxPackedNumber = 1 << 50

// Encode returns the stored form of the record.
func (r *Record) Encode() json.RawMessage {
	if r.packedDoc == nil {
		r.packedDoc = pack(r.Document)
	}
	return jobs.Encode(stored{
		Version: recordVersion,
		State:   r.State,
		AtMs:    r.AcceptedMs,
		EndMs:   r.EndMs,
		Sum:     r.Checksum,
		Salt:    r.Salt,
		Doc:     r.packedDoc,
		Steps:   packSteps(r.Steps, r.AcceptedMs),
	})
}

// Decode decodes and validates a run's record. Unknown fields are ignored. An unknown version is
// an error, so that the record is left unchanged.
func Decode(b []byte) (*Record, error) {
	var s stored
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	doc, err := unpack(s.Doc)
	if err != nil {
		return nil, fmt.Errorf("document: %w", err)
	}
	return s.record(doc, s.Doc)
}

// record validates a stored run and returns its record. doc is the unpacked document.
func (s *stored) record(doc []byte, packedDoc json.RawMessage) (*Record, error) {
	if s.Version != recordVersion {
		return nil, fmt.Errorf("unknown version %d of a run", s.Version)
	}
	switch s.State {
	case RunLive, RunCancelling, RunSucceeded, RunFailed, RunCancelled:
	default:
		return nil, fmt.Errorf("unknown state %q of a run", s.State)
	}
	steps, err := unpackSteps(s.Steps, s.AtMs)
	if err != nil {
		return nil, err
	}
	return &Record{
		State:      s.State,
		AcceptedMs: s.AtMs,
		EndMs:      s.EndMs,
		Checksum:   s.Sum,
		Salt:       s.Salt,
		Document:   doc,
		Steps:      steps,
		packedDoc:  packedDoc,
	}, nil
}
