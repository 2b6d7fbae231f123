package calendar

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/harrierreel/harrierreel/internal/compression"
	"github.com/harrierreel/harrierreel/internal/jobs"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Keys in the state service: the document in force, and the occurrences of each track.
const (
	StoreKey    = "calendar"
	TrackPrefix = StoreKey + "/"
)

// storedVersion is the form in which both are stored.
const storedVersion = 1

// Errors of what is stored.
var (
	errUnknownVersion   = errors.New("unknown version")
	errRevisionMismatch = errors.New("the revision is not that of the document")
	errInvalidDocument  = errors.New("invalid document")
	errUnknownState     = errors.New("unknown state")
	errTwoHolders       = errors.New("two occurrences hold the track")
)

// stored is the document in force as kept: compressed, for 200 windows must fit into one value.
// Every decision is conditional on its revision in the store.
type stored struct {
	Version  int    `json:"v"`
	Revision int    `json:"n"`
	Doc      string `json:"doc"`
}

var compressor = compression.New(tuning.MaxCalendarBytes)

// EncodeDocument writes the document that is in force.
func EncodeDocument(document *Document) json.RawMessage {
	encoder, _ := compressor()
	compressed := encoder.EncodeAll(jobs.Encode(document), nil)
	return jobs.Encode(stored{
		Version:  storedVersion,
		Revision: document.Revision,
		Doc:      base64.StdEncoding.EncodeToString(compressed),
	})
}

// DecodeDocument reads the document in force. A version that is not known is an error.
func DecodeDocument(value []byte) (*Document, error) {
	var outer stored
	if err := json.Unmarshal(value, &outer); err != nil {
		return nil, fmt.Errorf("decode calendar: %w", err)
	}
	if outer.Version != storedVersion {
		return nil, fmt.Errorf("decode calendar: %w %d", errUnknownVersion, outer.Version)
	}
	compressed, err := base64.StdEncoding.DecodeString(outer.Doc)
	if err != nil {
		return nil, fmt.Errorf("decode calendar: %w", err)
	}
	_, decoder := compressor()
	text, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress calendar: %w", err)
	}
	var document Document
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("decode calendar's document: %w", err)
	}
	if document.Revision != outer.Revision {
		return nil, fmt.Errorf("decode calendar: %w", errRevisionMismatch)
	}
	return &document, nil
}

// Compile makes the plan of a stored document without looking for overlaps: it was checked before
// it was put in force.
func Compile(document *Document) (*Plan, error) {
	check := &documentCheck{plan: newPlan(document)}
	check.checkDocument()
	if len(check.faults) > 0 {
		return nil, fmt.Errorf("compile calendar: %w: %s", errInvalidDocument, strings.Join(check.faults, "; "))
	}
	return check.plan, nil
}

// Record is a track's occurrences as stored: those that wait, in order, the one that holds the
// track, and the last few that ended.
type Record struct {
	Version int `json:"v"`
	// DoneMs is the planned begin of the last one that has begun or ended, a time of day in ms:
	// none up to there is ever planned again.
	DoneMs      int64        `json:"d"`
	Occurrences []Occurrence `json:"o"`
}

// TrackKey is the key of a track's occurrences.
func TrackKey(track string) string { return TrackPrefix + track }

// DecodeRecord reads a track's occurrences and checks them.
func DecodeRecord(value []byte) (*Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return nil, fmt.Errorf("decode track: %w", err)
	}
	if record.Version != storedVersion {
		return nil, fmt.Errorf("decode track: %w %d", errUnknownVersion, record.Version)
	}
	holders := 0
	for _, occurrence := range record.Occurrences {
		if !occurrence.State.known() {
			return nil, fmt.Errorf("decode track: %w %q of %s", errUnknownState, occurrence.State, occurrence.Window)
		}
		if occurrence.State.Holds() {
			holders++
		}
	}
	if holders > 1 {
		return nil, fmt.Errorf("decode track: %w", errTwoHolders)
	}
	return &record, nil
}

// encode writes a track's occurrences in at most so many bytes. Where they would not fit, the
// oldest of what ended goes first, then the last of what is planned: it is planned again.
func (r *Record) encode(limitBytes int) json.RawMessage {
	r.Version = storedVersion
	for {
		value := jobs.Encode(r)
		if len(value) <= limitBytes && r.ended() <= tuning.MaxEndedOccurrences {
			return value
		}
		index, ok := r.dispensable()
		if !ok {
			return value
		}
		r.Occurrences = slices.Delete(r.Occurrences, index, index+1)
	}
}

// ended counts the occurrences that never change again.
func (r *Record) ended() int {
	count := 0
	for _, occurrence := range r.Occurrences {
		if occurrence.State.Final() {
			count++
		}
	}
	return count
}

// dispensable is the index of the occurrence that a record can best do without.
func (r *Record) dispensable() (int, bool) {
	oldestEnded := slices.IndexFunc(r.Occurrences, func(o Occurrence) bool { return o.State.Final() })
	if oldestEnded >= 0 {
		return oldestEnded, true
	}
	last := len(r.Occurrences) - 1
	return last, last >= 0 && r.Occurrences[last].State == Planned
}

// holder is the occurrence that has the track, nil for none.
func (r *Record) holder() *Occurrence {
	for i := range r.Occurrences {
		if r.Occurrences[i].State.Holds() {
			return &r.Occurrences[i]
		}
	}
	return nil
}
