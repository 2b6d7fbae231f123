// Package cli is the command line that users have: pipelines and single jobs
// against any controller's API, tables for people and JSON lines for scripts. Its verbs for
// operators read the state service itself.
package cli

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"math/big"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// app is what every verb shares.
type app struct {
	servers  string     // controllers' addresses, as given by --server
	patience float64    // seconds for which a request is repeated
	output   string     // text or json
	out      io.Writer  // results
	note     io.Writer  // faults and remarks
	height   func() int // lines of the terminal that out is, 0 if it is none
	dial     func(servers []string, patience time.Duration) *client.Client
}

// Commands are the verbs for users.
func Commands() []*cobra.Command { return onTerminal().commands() }

// onTerminal prints to the process's own output.
func onTerminal() *app {
	return &app{
		out:    os.Stdout,
		note:   os.Stderr,
		dial:   client.New,
		height: terminalHeight,
	}
}

// terminalHeight is the lines of the terminal that the output is, 0 if it is none.
func terminalHeight() int {
	fd := int(os.Stdout.Fd())
	if !term.IsTerminal(fd) {
		return 0
	}
	_, height, err := term.GetSize(fd)
	if err != nil {
		return 24 // the usual height, where a terminal does not report its size
	}
	return height
}

func (a *app) commands() []*cobra.Command {
	return []*cobra.Command{
		a.pipeline(),
		a.quota(),
		a.calendar(),
		a.state(),
		a.rollout(),
		a.submit(),
		a.status(),
		a.cancel(),
		a.wait(),
	}
}

// group is a command that only holds verbs; by itself it prints their list.
func group(use, short string, verbs ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(verbs...)
	return c
}

// online adds the flags of verbs that send requests to controllers.
func (a *app) online(c *cobra.Command) *cobra.Command {
	flags := c.Flags()
	flags.StringVar(&a.servers, "server", os.Getenv("HARRIERREEL_SERVER"),
		"controllers' addresses, tried in turn: HOST:PORT[,HOST:PORT...]; also HARRIERREEL_SERVER")
	flags.Float64Var(&a.patience, "patience", tuning.ClientPatience.Seconds(),
		"seconds for which a request is repeated")
	return a.printed(c)
}

// printed adds the flag for the form of the output, and checks it before the verb runs.
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

// client makes a client of the flags.
func (a *app) client() (*client.Client, error) {
	servers, err := client.Addresses(a.servers)
	if err != nil {
		return nil, usage("%v", err)
	}
	if a.patience <= 0 {
		return nil, usage("--patience: must be above 0")
	}
	c := a.dial(servers, seconds(a.patience))
	c.Note = a.progress
	return c, nil
}

// refused turns an answer that is not 200 or 201 into an error.
func refused(id string, answer *client.Answer) error {
	var body struct {
		Error string `json:"error"`
	}
	// A body that is no JSON leaves the reason empty; server and status are still shown.
	_ = json.Unmarshal(answer.Body, &body)
	return usage("%s: %s answered %d: %s", id, answer.Server, answer.Status, body.Error)
}

// accepted tells whether a controller took a request.
func accepted(answer *client.Answer) bool { return answer.Status == 200 || answer.Status == 201 }

// decode reads the body of an answer about id.
func decode[T any](id string, answer *client.Answer) (*T, error) {
	var v T
	if err := json.Unmarshal(answer.Body, &v); err != nil {
		return nil, usage("%s: %s gave an answer that can't be read: %v", id, answer.Server, err)
	}
	return &v, nil
}

// newRunID makes a random id for a run.
func newRunID() string { return "run-" + strings.ToLower(rand.Text()[:16]) }

// newJobID makes a random job ID in the form that the protocol wants.
func newJobID() string {
	n, err := rand.Int(rand.Reader, big.NewInt(1_000_000_000_000_000_000))
	if err != nil {
		return ""
	}
	return fmt.Sprintf("wk-%018d", n)
}
