package settings

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxTOMLErrors bounds the faults of form that are told: a file with more is
// another kind of file.
const maxTOMLErrors = 50

// decode reads TOML and names every fault of form, by field and line. The
// decoder ends at the first, so that its line is left out and the rest read
// again. A faulty table's head ends it: nobody knows where what follows belongs.
func decode(b []byte, s *Settings) (errs []error, fields []string) {
	rest := bytes.Clone(b)
	for len(errs) < maxTOMLErrors {
		*s = Settings{}
		err := toml.Unmarshal(rest, s)
		if err == nil {
			return errs, fields
		}
		var at *toml.DecodeError
		if !errors.As(err, &at) {
			return append(errs, err), fields
		}
		row, column := at.Position()
		field := strings.Join(at.Key(), ".")
		line, head := blank(rest, row)
		if field == "" {
			key, _, _ := strings.Cut(line, "=")
			field = strings.TrimSpace(key)
		}
		errs = append(errs, fmt.Errorf("%s: line %d, column %d: %s", field, row, column, plain(at)))
		fields = append(fields, field)
		if head || strings.TrimSpace(line) == "" {
			return errs, fields
		}
	}
	return errs, fields
}

var intoField = regexp.MustCompile(`cannot decode TOML (\S+) into struct field \S+ of type (\S+)`)

// plain says what was expected without the program's own names.
func plain(err *toml.DecodeError) string {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if m := intoField.FindStringSubmatch(text); m != nil {
		want := map[string]string{"float64": "a number", "int": "a whole number", "string": "a text", "[]string": "a list of texts"}[m[2]]
		if want == "" {
			want = "a table"
		}
		return fmt.Sprintf("expected %s, found %s", want, m[1])
	}
	return text
}

// blank overwrites a line, counted from 1, with spaces. It returns what stood
// there, and whether it was the head of a table.
func blank(b []byte, row int) (line string, head bool) {
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
