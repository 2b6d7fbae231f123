package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxDecodeFaults is the maximum number of syntax and type faults that are reported. A file with
// more is probably not a settings file.
const maxDecodeFaults = 50

// decode reads TOML. It returns all syntax and type faults, with their fields and lines, and the
// malformed fields. The decoder stops at the first fault, so that line is blanked and the file
// decoded again. Nothing is decoded after a fault in a table's header, because it is unknown which
// table the following lines belong to.
func decode(b []byte, s *Settings) (errs []error, malformed []string) {
	rest := bytes.Clone(b)
	for len(errs) < maxDecodeFaults {
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
		errs = append(errs, fmt.Errorf("%s: line %d, column %d: %s", field, row, column, decodeFaultText(fault)))
		malformed = append(malformed, field)
		if header || strings.TrimSpace(line) == "" {
			return errs, malformed
		}
	}
	return errs, malformed
}

// wrongTypePattern matches the decoder's message for a value of the wrong type. It captures the
// type found and the Go type expected.
var wrongTypePattern = regexp.MustCompile(`cannot decode TOML (\S+) into struct field \S+ of type (\S+)`)

// typeNames maps the Go types of the settings to their names in error messages.
var typeNames = map[string]string{
	"float64":  "a number",
	"int":      "a whole number",
	"string":   "a text",
	"[]string": "a list of texts",
}

// decodeFaultText returns the message of a decode error without Go types and field names.
func decodeFaultText(err *toml.DecodeError) string {
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

// blankLine overwrites a line, counted from 1, with spaces. It returns the line's former text and
// whether that is the header of a table.
func blankLine(b []byte, row int) (line string, header bool) {
	start := 0
	for ; row > 1; row-- {
		n := bytes.IndexByte(b[start:], '\n')
		if n < 0 {
			return "", true
		}
		start += n + 1
	}
	end := len(b)
	if n := bytes.IndexByte(b[start:], '\n'); n >= 0 {
		end = start + n
	}
	line = string(b[start:end])
	for i := start; i < end; i++ {
		b[i] = ' '
	}
	return line, strings.HasPrefix(strings.TrimSpace(line), "[")
}
