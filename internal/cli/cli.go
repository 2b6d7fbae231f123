// Package cli is the command line that users have: pipelines and single jobs
// against any controller's front, tables for people and JSON lines for scripts.
package cli

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/pipefile"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// Exit codes, documented in docs/pipelines.md.
const (
	ExitDone        = 0
	ExitFailed      = 1 // a step failed
	ExitUsage       = 2 // a bad file, bad usage, or an id that nobody knows
	ExitCancelled   = 3
	ExitUnreachable = 4 // no controller reachable
)

// Exit is an error with the code that the program ends with. An empty text is
// not printed: all was said already.
type Exit struct {
	Code int
	Text string
}

func (e *Exit) Error() string { return e.Text }

func usage(format string, args ...any) error {
	return &Exit{ExitUsage, fmt.Sprintf(format, args...)}
}

// Code is the code to end with after an error, and what to print, if anything.
func Code(err error) (int, string) {
	var e *Exit
	switch {
	case err == nil:
		return ExitDone, ""
	case errors.As(err, &e):
		return e.Code, e.Text
	case errors.Is(err, client.ErrUnreachable):
		return ExitUnreachable, err.Error()
	}
	return ExitUsage, err.Error() // cobra's own: unknown verbs and flags
}

// app is what every verb shares.
type app struct {
	servers  string
	patience float64
	output   string
	out      io.Writer
	note     io.Writer
	height   func() int // lines of the terminal that out is, 0 if it is none
	dial     func(servers []string, patience time.Duration) *client.Client
}

// Commands are the verbs for users.
func Commands() []*cobra.Command { return onTerminal().commands() }

// onTerminal prints to the process's own output.
func onTerminal() *app {
	return &app{out: os.Stdout, note: os.Stderr, dial: client.New, height: func() int {
		fd := int(os.Stdout.Fd())
		if !term.IsTerminal(fd) {
			return 0
		}
		_, h, err := term.GetSize(fd)
		if err != nil {
			return 24
		}
		return h
	}}
}

func (a *app) commands() []*cobra.Command {
	pipeline := &cobra.Command{
		Use: "pipeline", Short: "Run pipeline files", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	pipeline.AddCommand(a.check(), a.run(), a.runStatus(), a.runCancel(), a.runExplain())
	return []*cobra.Command{
		pipeline,
		a.quota(),
		a.calendar(),
		a.state(),
		a.roll(),
		a.submit(),
		a.status(),
		a.cancel(),
		a.wait(),
	}
}

// online adds the flags of verbs that ask a controller.
func (a *app) online(c *cobra.Command) *cobra.Command {
	c.Flags().
		StringVar(&a.servers, "server", os.Getenv("HARRIERREEL_SERVER"), "controllers' addresses, tried in turn: HOST:PORT[,HOST:PORT...]; also HARRIERREEL_SERVER")
	c.Flags().
		Float64Var(&a.patience, "patience", tuning.ClientPatience.Seconds(), "seconds for which a request is repeated")
	return a.printed(c)
}

func (a *app) printed(c *cobra.Command) *cobra.Command {
	c.Flags().StringVarP(&a.output, "output", "o", "text", "text or json (JSON lines)")
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		if a.output != "text" && a.output != "json" {
			return usage("--output: %q is neither text nor json", a.output)
		}
		return run(c, args)
	}
	return c
}

func (a *app) json() bool { return a.output == "json" }

// client makes a client of the flags.
func (a *app) client() (*client.Client, error) {
	servers, err := client.Addresses(a.servers)
	if err != nil {
		return nil, usage("%v", err)
	}
	if a.patience <= 0 {
		return nil, usage("--patience: must be above 0")
	}
	c := a.dial(servers, time.Duration(a.patience*float64(time.Second)))
	c.Note = func(what string) { fmt.Fprintln(a.note, "harrierreel:", what) }
	return c, nil
}

// line prints a value as a line of JSON.
func (a *app) line(v any) {
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintln(a.out, string(b))
}

// faults prints what is wrong with a file and ends with the code for it.
func (a *app) faults(fs []pipefile.Fault) error {
	for _, f := range fs {
		if a.json() {
			a.line(
				map[string]any{
					"event":  "fault",
					"file":   f.File,
					"line":   f.Line,
					"column": f.Column,
					"path":   f.Path,
					"want":   f.Want,
				},
			)
		} else {
			fmt.Fprintln(a.note, f.Error())
		}
	}
	return &Exit{Code: ExitUsage}
}

// refused turns an answer that is not 200 or 201 into an error.
func refused(id string, ans *client.Answer) error {
	var body struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(ans.Body, &body)
	return usage("%s: %s answered %d: %s", id, ans.Server, ans.Status, body.Error)
}

// newRunID makes a run's id by chance.
func newRunID() string { return "run-" + strings.ToLower(rand.Text()[:16]) }

// newJobID makes a job's uid by chance, in the form that the protocol wants.
func newJobID() string {
	n, err := rand.Int(rand.Reader, big.NewInt(1_000_000_000_000_000_000))
	if err != nil {
		return ""
	}
	return fmt.Sprintf("wk-%018d", n)
}
