package http1

import (
	"bytes"
	"strconv"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Kind is a kind of message, which determines the start line that Parse expects.
type Kind int

// The two kinds of message.
const (
	Request Kind = iota
	Response
)

// Parse parses one message at the start of buf. It returns the message and the number of bytes it
// takes up, or a nil message when more bytes are needed. maxBody is the limit on the body's size,
// in bytes.
func Parse(kind Kind, buf []byte, maxBody int) (*Message, int, error) {
	end, err := headEnd(buf)
	if err != nil || end < 0 {
		return nil, 0, err
	}
	line, headers, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	m := &Message{}
	if kind == Request {
		err = parseRequestLine(line, m)
	} else {
		err = parseStatusLine(line, m)
	}
	if err != nil {
		return nil, 0, err
	}
	bodyFraming, err := parseHeaders(kind, headers, m)
	if err != nil {
		return nil, 0, err
	}
	bodyStart := end + len("\r\n\r\n")
	body := buf[bodyStart:]
	if bodyFraming.chunked {
		return parseChunks(m, body, bodyStart, maxBody)
	}
	if bodyFraming.length > maxBody {
		return nil, 0, ErrTooLarge
	}
	if len(body) < bodyFraming.length {
		return nil, 0, nil
	}
	m.Body = append([]byte(nil), body[:bodyFraming.length]...)
	return m, bodyStart + bodyFraming.length, nil
}

// headEnd returns the length of the start line and headers, without the empty line that ends them,
// or -1 when more bytes are needed.
func headEnd(buf []byte) (int, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end > tuning.MaxHeadBytes || (end < 0 && len(buf) > tuning.MaxHeadBytes) {
		return 0, ErrTooLarge
	}
	if end >= 0 {
		return end, nil
	}
	// A bare LF in the head is rejected immediately, rather than waiting for more bytes from a
	// client that speaks another protocol.
	if i := bytes.IndexByte(buf, '\n'); i >= 0 && (i == 0 || buf[i-1] != '\r') {
		return 0, ErrMalformed
	}
	return -1, nil
}

func parseRequestLine(line []byte, m *Message) error {
	method, rest, hasTarget := bytes.Cut(line, []byte(" "))
	target, version, hasVersion := bytes.Cut(rest, []byte(" "))
	if !hasTarget || !hasVersion || len(method) == 0 || !isToken(method) || !validTarget(target) {
		return ErrMalformed
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.Close = true
	default:
		return ErrMalformed
	}
	m.Method = string(method)
	m.Target = string(target)
	return nil
}

// validTarget reports whether target is an absolute path of printable ASCII characters.
func validTarget(target []byte) bool {
	if len(target) == 0 || target[0] != '/' {
		return false
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

func parseStatusLine(line []byte, m *Message) error {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' {
		return ErrMalformed
	}
	if len(line) > 12 && line[12] != ' ' {
		return ErrMalformed
	}
	status, err := strconv.Atoi(string(line[9:12]))
	if err != nil || status < 100 {
		return ErrMalformed
	}
	m.Status = status
	return nil
}

// framing describes how the end of a message's body is determined.
type framing struct {
	length    int
	hasLength bool
	chunked   bool
}

// parseHeaders parses the headers that the project uses into m and the returned framing. It skips
// all other well-formed headers.
func parseHeaders(kind Kind, headers []byte, m *Message) (framing, error) {
	var body framing
	for len(headers) > 0 {
		var line []byte
		line, headers, _ = bytes.Cut(headers, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || !isToken(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return body, ErrMalformed
		}
		if err := parseHeader(kind, name, bytes.Trim(value, " \t"), m, &body); err != nil {
			return body, err
		}
	}
	if body.chunked && body.hasLength {
		return body, ErrMalformed
	}
	return body, nil
}

func parseHeader(kind Kind, name, value []byte, m *Message, body *framing) error {
	switch {
	case equalFold(name, "content-length"):
		length, err := parseDecimal(value)
		if err != nil || (body.hasLength && length != body.length) {
			return ErrMalformed
		}
		body.length = length
		body.hasLength = true
	case equalFold(name, "transfer-encoding"):
		// Requests must have a Content-Length; only responses may be chunked.
		if kind == Request || !equalFold(value, "chunked") {
			return ErrMalformed
		}
		body.chunked = true
	case equalFold(name, "retry-after"):
		// A date, which HTTP also allows, is ignored: the project's own servers send seconds.
		if delay, err := parseDecimal(value); err == nil && kind == Response {
			m.RetryAfter = delay
		}
	case equalFold(name, "connection"):
		if equalFold(value, "close") {
			m.Close = true
		}
	}
	return nil
}

// parseChunks parses a chunked body into m. used is the number of bytes of the message before the
// body. It returns the same values as Parse.
func parseChunks(m *Message, body []byte, used, maxBody int) (*Message, int, error) {
	m.Body = nil
	for {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		if !ok && len(body) > 32 {
			return nil, 0, ErrMalformed
		}
		if !ok {
			return nil, 0, nil
		}
		size, err := strconv.ParseUint(string(line), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		length := int(size)
		if len(m.Body)+length > maxBody {
			return nil, 0, ErrTooLarge
		}
		if len(rest) < length+2 {
			return nil, 0, nil
		}
		if rest[length] != '\r' || rest[length+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		m.Body = append(m.Body, rest[:length]...)
		used += len(line) + 2 + length + 2
		body = rest[length+2:]
		if length == 0 {
			return m, used, nil
		}
	}
}

// parseDecimal parses a non-negative decimal number of at most nine digits.
func parseDecimal(b []byte) (int, error) {
	if len(b) == 0 || len(b) > 9 {
		return 0, ErrMalformed
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, ErrMalformed
		}
		n = n*10 + int(c-'0')
	}
	return n, nil
}

// isToken reports whether b consists only of characters that RFC 9110 allows in a token.
func isToken(b []byte) bool {
	for _, c := range b {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return true
}

// equalFold reports whether b equals lower, ignoring case.
func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && bytes.EqualFold(b, []byte(lower))
}
