// Package http1 implements the subset of HTTP/1.1 that the project uses: one parser for requests
// and responses, a server built on gnet's poller, and a client built on net.
package http1

import (
	"errors"
	"strconv"
)

// Message is a parsed request or response. Method and Target are set for a request, Status for a
// response.
type Message struct {
	Method string
	Target string
	Status int
	Body   []byte
	Close  bool // the sender asks to close the connection after this message
	// RetryAfter is the value of a response's Retry-After header in seconds, 0 if there is none.
	RetryAfter int
}

// Errors returned by Parse. After any of them the connection must be closed.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// AppendRequest appends a request to out and returns the extended slice. closing asks the
// server to close the connection after its response.
func AppendRequest(out []byte, method, target, host string, body []byte, closing bool) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	return appendHeadersAndBody(out, body, closing, 0)
}

// AppendResponse appends a response to out and returns the extended slice. closing announces that
// the server closes the connection. retryAfter is in seconds; 0 omits the header.
func AppendResponse(out []byte, status int, body []byte, closing bool, retryAfter int) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reasonPhrase(status)...)
	return appendHeadersAndBody(out, body, closing, retryAfter)
}

// appendHeadersAndBody appends the headers common to requests and responses, and the body.
func appendHeadersAndBody(out, body []byte, closing bool, retryAfter int) []byte {
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

// Status codes of the project's responses.
const (
	statusOK                 = 200
	statusCreated            = 201
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusContentTooLarge    = 413
	statusMisdirectedRequest = 421
	statusUnprocessable      = 422
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// reasonPhrase returns the reason phrase of a status code. net/http has the codes and phrases too,
// but importing it links its client and server into the program.
func reasonPhrase(status int) string {
	switch status {
	case statusOK:
		return "OK"
	case statusCreated:
		return "Created"
	case statusBadRequest:
		return "Bad Request"
	case statusNotFound:
		return "Not Found"
	case statusMethodNotAllowed:
		return "Method Not Allowed"
	case statusContentTooLarge:
		return "Content Too Large"
	case statusMisdirectedRequest:
		return "Misdirected Request"
	case statusUnprocessable:
		return "Unprocessable Content"
	case statusTooManyRequests:
		return "Too Many Requests"
	case statusServiceUnavailable:
		return "Service Unavailable"
	}
	return "Status"
}
