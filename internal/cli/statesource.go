package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"github.com/harrierreel/harrierreel/internal/client"
	"github.com/harrierreel/harrierreel/internal/http1"
	"github.com/harrierreel/harrierreel/internal/settings"
	"github.com/harrierreel/harrierreel/internal/store"
	"github.com/harrierreel/harrierreel/internal/tuning"
)

// stateFlags are the flags that select the state service, by a settings file or by address.
type stateFlags struct{ config, address string }

// add adds the flags to a command.
func (f *stateFlags) add(c *cobra.Command, configUsage string) {
	c.Flags().StringVar(&f.config, "config", "", configUsage)
	c.Flags().StringVar(&f.address, "state", "", "the state service's address, HOST:PORT, instead of a settings file")
}

// check returns an error unless exactly one of the flags is set.
func (f *stateFlags) check() error {
	if (f.config == "") == (f.address == "") {
		return usageError("give either --config, the platform's settings file, or --state, the state service's HOST:PORT")
	}
	return nil
}

// resolve returns the address of the state service as HOST:PORT.
func (f *stateFlags) resolve() (string, error) {
	if f.config == "" {
		return f.address, nil
	}
	cfg, err := loadSettings(f.config)
	if err != nil {
		return "", err
	}
	return cfg.Outside.State, nil
}

// loadSettings reads the platform's settings file. Its errors have the exit code ExitUsage.
func loadSettings(file string) (*settings.Settings, error) {
	cfg, err := settings.Load(file, "")
	if err != nil {
		return nil, usageError("%v", err)
	}
	return cfg, nil
}

// stateSource reads from the state service. It limits its request rate, because its requests reduce
// the number that the state service accepts from controllers.
type stateSource struct {
	client *client.Client
	limit  *rate.Limiter
}

// newStateSource returns a source that sends at most rps requests per second to address.
func newStateSource(address string, rps float64, progress func(string)) *stateSource {
	c := client.New([]string{address}, tuning.SnapshotPatience)
	conn := &http1.Client{Addr: address, MaxIdle: 1, MaxBody: tuning.SnapshotBlock}
	c.Do = func(_, method, target string, body []byte) (*http1.Message, error) {
		return conn.Do(method, target, body, tuning.StateTimeout)
	}
	c.OnRetry = progress
	return &stateSource{client: c, limit: rate.NewLimiter(rate.Limit(rps), 1)}
}

// get sends a GET request, retries it until there is a final response, and decodes the response
// into v.
func (s *stateSource) get(target string, v any) error {
	if err := s.limit.Wait(context.Background()); err != nil {
		return err
	}
	response, err := s.client.Call("GET", target, nil)
	switch {
	case errors.Is(err, client.ErrUnreachable):
		return &ExitError{Code: ExitUnreachable, Text: fmt.Sprintf(
			"the state service at %s gave nothing for %g s; run the same command again to go on",
			s.client.Servers[0],
			s.client.Patience.Seconds(),
		)}
	case err != nil:
		return err
	case response.Status == 410:
		return store.ErrGone
	case response.Status != 200:
		return fmt.Errorf("the state service answered %d", response.Status)
	}
	return json.Unmarshal(response.Body, v)
}

// List returns a page of the keys that sort after the given one.
func (s *stateSource) List(after string) (page store.Page, err error) {
	err = s.get(store.ListTarget("", after), &page)
	return page, err
}

// Changes returns the changes since an epoch, and the epoch up to which they reach. It does not
// wait for changes.
func (s *stateSource) Changes(since uint64) (uint64, []store.Event, error) {
	var response store.WatchResult
	err := s.get(store.WatchTarget(since, 0), &response)
	return response.Epoch, response.Events, err
}

// listAll lists the keys with a prefix, page by page. The pages may be as of different epochs.
func (s *stateSource) listAll(prefix string) (rows []store.Item, err error) {
	for after, more := "", true; more; {
		var page store.Page
		if err := s.get(store.ListTarget(prefix, after), &page); err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if more = page.HasNext && len(page.Rows) > 0; more {
			after = page.Rows[len(page.Rows)-1].Key
		}
	}
	return rows, nil
}
