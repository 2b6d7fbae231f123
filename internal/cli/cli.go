// Package cli implements the commands of the harrierreel command line. Commands for users run
// pipelines and single jobs through the API of any controller; some of those for operators read
// the state service directly. Results are printed as tables or as JSON lines.
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

// app holds the flags and the environment that all commands share.
type app struct {
	servers   string     // controllers' addresses, the value of --server
	patience  float64    // how long a request is retried, in seconds
	output    string     // output format, "text" or "json"
	out       io.Writer  // receives results
	errOut    io.Writer  // receives errors and progress messages
	height    func() int // returns the terminal's height in lines, 0 if out is not a terminal
	newClient func(servers []string, patience time.Duration) *client.Client
}

// Commands returns all commands except the one that TryCommand returns.
func Commands() []*cobra.Command { return newApp().commands() }

// newApp returns an app that prints to standard output and standard error.
func newApp() *app {
	return &app{
		out:       os.Stdout,
		errOut:    os.Stderr,
		newClient: client.New,
		height:    terminalHeight,
	}
}

// terminalHeight returns the height in lines of the terminal that standard output is connected to,
// and 0 if it is not a terminal.
func terminalHeight() int {
	fd := int(os.Stdout.Fd())
	if !term.IsTerminal(fd) {
		return 0
	}
	_, height, err := term.GetSize(fd)
	if err != nil {
		return 24 // the usual height, for terminals that don't report their size
	}
	return height
}

// commands returns the commands, which all share a.
func (a *app) commands() []*cobra.Command {
	return []*cobra.Command{
		a.pipelineCommand(),
		a.quotaCommand(),
		a.calendarCommand(),
		a.stateCommand(),
		a.rolloutCommand(),
		a.submitCommand(),
		a.statusCommand(),
		a.cancelCommand(),
		a.waitCommand(),
	}
}

// commandGroup returns a command that has only subcommands. Without one, it prints its help.
func commandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(subcommands...)
	return c
}

// withClientFlags adds the flags of commands that send requests to controllers.
func (a *app) withClientFlags(c *cobra.Command) *cobra.Command {
	flags := c.Flags()
	flags.StringVar(&a.servers, "server", os.Getenv("HARRIERREEL_SERVER"),
		"controllers' addresses, tried in turn: HOST:PORT[,HOST:PORT...]; also HARRIERREEL_SERVER")
	flags.Float64Var(&a.patience, "patience", tuning.ClientPatience.Seconds(),
		"seconds for which a request is repeated")
	return a.withOutputFlag(c)
}

// withOutputFlag adds the flag for the output format, which is checked before the command runs.
func (a *app) withOutputFlag(c *cobra.Command) *cobra.Command {
	c.Flags().StringVarP(&a.output, "output", "o", "text", "text or json (JSON lines)")
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		if a.output != "text" && a.output != "json" {
			return usageError("--output: %q is neither text nor json", a.output)
		}
		return run(c, args)
	}
	return c
}

// clientFromFlags returns a client that is configured by the flags.
func (a *app) clientFromFlags() (*client.Client, error) {
	servers, err := client.Addresses(a.servers)
	if err != nil {
		return nil, usageError("%v", err)
	}
	if a.patience <= 0 {
		return nil, usageError("--patience: must be above 0")
	}
	c := a.newClient(servers, seconds(a.patience))
	c.OnRetry = a.progress
	return c, nil
}

// refusalError returns an error for a response other than 200 and 201 to a request about id.
func refusalError(id string, response *client.Response) error {
	var body struct {
		Error string `json:"error"`
	}
	// If the body is not JSON, the error has no reason but still names the server and the status.
	_ = json.Unmarshal(response.Body, &body)
	return usageError("%s: %s answered %d: %s", id, response.Server, response.Status, body.Error)
}

// accepted reports whether a controller accepted a request.
func accepted(response *client.Response) bool {
	return response.Status == 200 || response.Status == 201
}

// decode decodes the body of a response to a request about id.
func decode[T any](id string, response *client.Response) (*T, error) {
	var v T
	if err := json.Unmarshal(response.Body, &v); err != nil {
		return nil, usageError("%s: %s gave an answer that can't be read: %v", id, response.Server, err)
	}
	return &v, nil
}

// newRunID returns a random ID for a run.
func newRunID() string { return "run-" + strings.ToLower(rand.Text()[:16]) }

// newJobID returns a random job ID in the format that the protocol requires, or "" on failure.
func newJobID() string {
	n, err := rand.Int(rand.Reader, big.NewInt(1_000_000_000_000_000_000))
	if err != nil {
		return ""
	}
	return fmt.Sprintf("wk-%018d", n)
}
