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

// whys numbers the causes in records; new ones are added at the end.
var whys = []Why{
	NoCause,
	WhenFalse,
	WhenBroken,
	TimedOut,
	InDoubt,
	JobAborted,
	RunAborted,
	NeverRuns,
	JobIDTaken,
	JobForgotten,
}

// recordVersion is the form in which runs are stored.
const recordVersion = 1

// stored is a run's record as JSON. Document and steps are packed.
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

var coder = compression.New(tuning.MaxUnpacked, compression.SmallRecords...)

// pack gives JSON that holds b: b itself if it is JSON and not longer than a
// text with its compressed form.
func pack(b []byte) json.RawMessage {
	enc, _ := coder()
	z := base64.StdEncoding.EncodeToString(enc.EncodeAll(b, nil))
	if len(z)+2 >= len(b) {
		return b
	}
	return json.RawMessage(`"` + z + `"`)
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
	z, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, err
	}
	_, dec := coder()
	return dec.DecodeAll(z, nil)
}

// stepStates numbers the states in records; new ones are added at the end.
var stepStates = []StepState{Waiting, Ready, Submitted, Running, Succeeded, Failed, Skipped, Cancelling, Cancelled}

// packSteps writes the steps' states as numbers, times counted from the run's
// acceptance in ms.
func packSteps(steps []StepRun, atMs int64) string {
	var b []byte
	since := func(t, from int64) uint64 {
		if t == 0 {
			return 0
		}
		return uint64(max(t-from, 0)) + 1
	}
	for _, s := range steps {
		b = append(b, byte(slices.Index(stepStates, s.State)), byte(slices.Index(whys, s.Why)))
		b = binary.AppendUvarint(b, uint64(s.Repeat))
		b = binary.AppendUvarint(b, since(s.AtMs, atMs))
		b = binary.AppendUvarint(b, since(s.EndMs, max(s.AtMs, atMs)))
		b = binary.AppendUvarint(b, since(s.DoubtMs, max(s.AtMs, atMs)))
	}
	enc, _ := coder()
	return base64.StdEncoding.EncodeToString(enc.EncodeAll(b, nil))
}

var errSteps = errors.New("steps of a run can't be read")

func unpackSteps(text string, atMs int64) ([]StepRun, error) {
	b, err := unpackText(text)
	if err != nil {
		return nil, err
	}
	var out []StepRun
	for len(b) > 0 {
		if len(b) < 2 || int(b[0]) >= len(stepStates) || int(b[1]) >= len(whys) {
			return nil, errSteps
		}
		s := StepRun{State: stepStates[b[0]], Why: whys[b[1]]}
		b = b[2:]
		var v [4]uint64
		for i := range v {
			n := 0
			if v[i], n = binary.Uvarint(b); n <= 0 || v[i] > 1<<50 {
				return nil, errSteps
			}
			b = b[n:]
		}
		then := func(v uint64, from int64) int64 {
			if v == 0 {
				return 0
			}
			return from + int64(v) - 1
		}
		s.Repeat = int(v[0])
		s.AtMs = then(v[1], atMs)
		s.EndMs = then(v[2], max(s.AtMs, atMs))
		s.DoubtMs = then(v[3], max(s.AtMs, atMs))
		if len(out) == tuning.MaxSteps {
			return nil, errSteps
		}
		out = append(out, s)
	}
	return out, nil
}

// Encode writes a run's record.
func (r *Record) Encode() json.RawMessage {
	if r.packedDoc == nil {
		r.packedDoc = pack(r.Doc)
	}
	return jobs.Encode(
		stored{recordVersion, r.State, r.AtMs, r.EndMs, r.Sum, r.Salt, r.packedDoc, packSteps(r.Steps, r.AtMs)},
	)
}

// Decode reads a run's record and checks it. Unknown fields are ignored; a
// version that is not known is an error, and the record is left alone.
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

// record checks a run as stored, whose document is unpacked already.
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
		State:     s.State,
		AtMs:      s.AtMs,
		EndMs:     s.EndMs,
		Sum:       s.Sum,
		Salt:      s.Salt,
		Doc:       doc,
		Steps:     steps,
		packedDoc: packedDoc,
	}, nil
}
