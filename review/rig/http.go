package rig

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// jobsPath is the protocol's path of submissions.
const jobsPath = "/work"

// JobPath returns the protocol's path of questions about a job.
func JobPath(uid string) string { return jobsPath + "/" + uid }

// AbortPath returns the protocol's path of cancellations of a job.
func AbortPath(uid string) string { return JobPath(uid) + "/abort" }

// serve serves HTTP on a free loopback port and returns the address.
func serve(handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), server, nil
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// readJSON decodes a request's body.
func readJSON(r *http.Request, into any) error {
	text, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return err
	}
	return json.Unmarshal(text, into)
}

// Call sends a request and returns the status and the body. A status of 0 stands for no answer.
func Call(client *http.Client, method, url string, body any) (int, []byte) {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return 0, nil
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// NewClient returns a client that opens a connection for each request.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}
