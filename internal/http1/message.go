// Package http1 is the project's HTTP/1.1: one parser for requests and
// responses, the listener built on evio, and the client built on net.
package http1

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Message is a parsed request or response. For a request Method and Target
// are set, for a response Status.
type Message struct {
	Method string
	Target string
	Status int
	Body   []byte
	Close  bool // the sender wants the connection closed afterwards
	// RetryAfter, whole seconds: when an answer says to come back, 0 if it doesn't.
	RetryAfter int
}

// Errors of the parser. Each of them ends the connection.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Kind tells Parse which start line to expect.
type Kind int

// The two kinds of message.
const (
	Request Kind = iota
	Response
)

// Parse reads one message from the start of buf. It returns the message and
// the number of bytes used, or a nil message when more bytes are needed.
// maxBody bounds the body.
func Parse(kind Kind, buf []byte, maxBody int) (*Message, int, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > tuning.MaxHeadBytes {
			return nil, 0, ErrTooLarge
		}
		// A bare LF in the head is refused early, so that a peer speaking
		// another protocol is not waited for.
		if i := bytes.IndexByte(buf, '\n'); i >= 0 && (i == 0 || buf[i-1] != '\r') {
			return nil, 0, ErrMalformed
		}
		return nil, 0, nil
	}
	if end > tuning.MaxHeadBytes {
		return nil, 0, ErrTooLarge
	}
	head := buf[:end]
	line, rest, _ := bytes.Cut(head, []byte("\r\n"))
	m := &Message{}
	if err := startLine(kind, line, m); err != nil {
		return nil, 0, err
	}
	length, chunked, seen := 0, false, false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || !token(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return nil, 0, ErrMalformed
		}
		value = bytes.Trim(value, " \t")
		switch {
		case equalFold(name, "content-length"):
			n, err := contentLength(value)
			if err != nil || (seen && n != length) {
				return nil, 0, ErrMalformed
			}
			length, seen = n, true
		case equalFold(name, "transfer-encoding"):
			// Requests must carry their length; answers may be chunked.
			if kind == Request || !equalFold(value, "chunked") {
				return nil, 0, ErrMalformed
			}
			chunked = true
		case equalFold(name, "retry-after"):
			// A date, which is allowed too, counts as none: our own servers send seconds.
			if n, err := contentLength(value); err == nil && kind == Response {
				m.RetryAfter = n
			}
		case equalFold(name, "connection"):
			if equalFold(value, "close") {
				m.Close = true
			}
		}
	}
	if chunked && seen {
		return nil, 0, ErrMalformed
	}
	body := buf[end+4:]
	if chunked {
		return parseChunks(m, body, end+4, maxBody)
	}
	if length > maxBody {
		return nil, 0, ErrTooLarge
	}
	if len(body) < length {
		return nil, 0, nil
	}
	m.Body = append([]byte(nil), body[:length]...)
	return m, end + 4 + length, nil
}

func startLine(kind Kind, line []byte, m *Message) error {
	if kind == Request {
		method, rest, ok := bytes.Cut(line, []byte(" "))
		target, version, ok2 := bytes.Cut(rest, []byte(" "))
		if !ok || !ok2 || len(method) == 0 || !token(method) || len(target) == 0 || target[0] != '/' {
			return ErrMalformed
		}
		for _, c := range target {
			if c <= ' ' || c >= 0x7f {
				return ErrMalformed
			}
		}
		switch string(version) {
		case "HTTP/1.1":
		case "HTTP/1.0":
			m.Close = true
		default:
			return ErrMalformed
		}
		m.Method, m.Target = string(method), string(target)
		return nil
	}
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

func parseChunks(m *Message, body []byte, used, maxBody int) (*Message, int, error) {
	m.Body = nil
	for {
		line, rest, ok := bytes.Cut(body, []byte("\r\n"))
		if !ok {
			if len(body) > 32 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, nil
		}
		n, err := strconv.ParseUint(string(line), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		if len(m.Body)+int(n) > maxBody {
			return nil, 0, ErrTooLarge
		}
		if len(rest) < int(n)+2 {
			return nil, 0, nil
		}
		if rest[n] != '\r' || rest[n+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		m.Body = append(m.Body, rest[:n]...)
		used += len(line) + 2 + int(n) + 2
		body = rest[n+2:]
		if n == 0 {
			return m, used, nil
		}
	}
}

func contentLength(b []byte) (int, error) {
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

func token(b []byte) bool {
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

func equalFold(b []byte, lower string) bool {
	return len(b) == len(lower) && bytes.EqualFold(b, []byte(lower))
}

// AppendRequest writes a request to out.
func AppendRequest(out []byte, method, target, host string, body []byte, closing bool) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	return appendRest(out, body, closing, 0)
}

// AppendResponse writes a response to out. retryAfter is in whole seconds;
// 0 leaves the header out.
func AppendResponse(out []byte, status int, body []byte, closing bool, retryAfter int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reason(status)...)
	return appendRest(out, body, closing, retryAfter)
}

func appendRest(out, body []byte, closing bool, retryAfter int) []byte {
	if len(body) > 0 {
		out = append(out, "\r\nContent-Type: application/json"...)
	}
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendInt(out, int64(retryAfter), 10)
	}
	if closing {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}

func reason(status int) string {
	switch status {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	case 422:
		return "Unprocessable Content"
	case 429:
		return "Too Many Requests"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}
