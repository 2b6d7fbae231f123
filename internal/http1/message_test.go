package http1

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	text := "POST /work HTTP/1.1\r\nHost: x\r\ncontent-length: 2\r\n\r\n{}GET"
	m, used, err := Parse(Request, []byte(text), 100)
	if err != nil || m.Method != http.MethodPost || m.Target != "/work" || string(m.Body) != "{}" || used != len(text)-3 {
		t.Fatalf("got message %+v of %d bytes, %v", m, used, err)
	}
	for i := range len(text) - 3 {
		if m, _, err := Parse(Request, []byte(text[:i]), 100); m != nil || err != nil {
			t.Fatalf("first %d bytes: got %v, %v, want more bytes to be requested", i, m, err)
		}
	}
}

func TestParseRejectsInvalidRequests(t *testing.T) {
	for name, text := range map[string]string{
		"no version":                  "GET /\r\n\r\n",
		"wrong version":               "GET / HTTP/2.0\r\n\r\n",
		"relative target":             "GET x HTTP/1.1\r\n\r\n",
		"bare line feeds":             "GET / HTTP/1.1\n\n",
		"space in name":               "GET / HTTP/1.1\r\nA B: c\r\n\r\n",
		"no colon":                    "GET / HTTP/1.1\r\nabc\r\n\r\n",
		"conflicting lengths":         "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"signed length":               "GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
		"chunked request":             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"too large":                   "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
		"garbage":                     "\x16\x03\x01\x02\n\x00",
		"control character in target": "GET /\x01 HTTP/1.1\r\n\r\n",
		"head too large":              "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 9000),
	} {
		if m, _, err := Parse(Request, []byte(text), 100); err == nil {
			t.Errorf("%s: accepted as %+v", name, m)
		}
	}
}

func TestParseResponse(t *testing.T) {
	m, _, err := Parse(
		Response,
		[]byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
		10,
	)
	if err != nil || m.Status != 503 || !m.Close {
		t.Fatalf("got message %+v, %v", m, err)
	}
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n"
	m, used, err := Parse(Response, []byte(chunked), 20)
	if err != nil || string(m.Body) != "abc0123456789" || used != len(chunked) {
		t.Fatalf("got message %+v of %d bytes, %v", m, used, err)
	}
	if _, _, err := Parse(Response, []byte(chunked), 12); err == nil {
		t.Error("chunked body larger than the limit was accepted")
	}
}

func TestParseReadsAppendedMessages(t *testing.T) {
	out := AppendResponse(nil, 503, []byte("{}"), false, 7)
	if m, _, err := Parse(Response, out, 1000); err != nil || m.RetryAfter != 7 {
		t.Errorf("appended response is parsed as %+v, %v", m, err)
	}
	if !bytes.Contains(out, []byte("\r\nRetry-After: 7\r\n")) {
		t.Errorf("no Retry-After header in %s", out)
	}
	m, used, err := Parse(Response, out, 10)
	if err != nil || used != len(out) || m.Status != 503 || string(m.Body) != "{}" {
		t.Errorf("appended response is parsed as %+v, %v", m, err)
	}
	out = AppendRequest(nil, "POST", "/x?y=z", "h:1", []byte("abc"), true)
	m, used, err = Parse(Request, out, 10)
	if err != nil || used != len(out) || m.Target != "/x?y=z" || !m.Close {
		t.Errorf("appended request is parsed as %+v, %v", m, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, k := range []Kind{Request, Response} {
			m, used, err := Parse(k, b, 64)
			if m == nil {
				continue
			}
			if err != nil || used > len(b) || len(m.Body) > 64 {
				t.Fatalf("got message %+v of %d bytes, %v", m, used, err)
			}
			// Bytes that follow a message do not change how it is parsed.
			again, usedAgain, err := Parse(k, append(bytes.Clone(b[:used]), 'x'), 64)
			if err != nil || usedAgain != used || !bytes.Equal(again.Body, m.Body) {
				t.Fatalf("with a byte appended %+v, without %+v", again, m)
			}
		}
	})
}
