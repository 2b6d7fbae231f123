package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFormFaults bounds the faults of form that are reported: a file with
// more is another kind of file.
const maxFormFaults = 50

// decode reads TOML and returns every fault of form, by field and line, and the
// fields concerned. The decoder stops at the first fault, so its line is blanked and
// the rest decoded again. A fault in a table's header is the last: the table that the
// following lines belong to is unknown.
func decode(b []byte, s *Settings) (errs []error, malformed []string) {
	rest := bytes.Clone(b)
	for len(errs) < maxFormFaults {
		*s = Settings{}
		err := toml.Unmarshal(rest, s)
		if err == nil {
			return errs, malformed
		}
		var fault *toml.DecodeError
		if !errors.As(err, &fault) {
			return append(errs, err), malformed
		}
		row, column := fault.Position()
		field := strings.Join(fault.Key(), ".")
		line, header := blankLine(rest, row)
		if field == "" {
			key, _, _ := strings.Cut(line, "=")
			field = strings.TrimSpace(key)
		}
		errs = append(errs, fmt.Errorf("%s: line %d, column %d: %s", field, row, column, plainFault(fault)))
		malformed = append(malformed, field)
		if header || strings.TrimSpace(line) == "" {
			return errs, malformed
		}
	}
	return errs, malformed
}

// wrongTypePattern matches the decoder's text for a value of the wrong type: the type
// found, and the Go type expected.
var wrongTypePattern = regexp.MustCompile(`cannot decode TOML (\S+) into struct field \S+ of type (\S+)`)

// typeNames are the types of the settings in the operators' words.
var typeNames = map[string]string{
	"float64":  "a number",
	"int":      "a whole number",
	"string":   "a text",
	"[]string": "a list of texts",
}

// plainFault says what was expected without the program's own names.
func plainFault(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if m := wrongTypePattern.FindStringSubmatch(text); m != nil {
		want := typeNames[m[2]]
		if want == "" {
			want = "a table"
		}
		return fmt.Sprintf("expected %s, found %s", want, m[1])
	}
	return text
}

// blankLine overwrites a line, counted from 1, with spaces. It returns what stood
// there, and whether it was the header of a table.
func blankLine(b []byte, row int) (line string, header bool) {
	at := 0
	for ; row > 1; row-- {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return "", true
		}
		at += n + 1
	}
	end := len(b)
	if n := bytes.IndexByte(b[at:], '\n'); n >= 0 {
		end = at + n
	}
	line = string(b[at:end])
	for i := at; i < end; i++ {
		b[i] = ' '
	}
	return line, strings.HasPrefix(strings.TrimSpace(line), "[")
}
