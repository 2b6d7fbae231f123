package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
)

// Source is the key-value store as Take needs it.
type Source interface {
	// List returns a page of all keys, in order, that come after one.
	List(after string) (store.Page, error)
	// Changes returns what has changed since an epoch, and up to which; store.ErrGone
	// if the store does not remember that far back.
	Changes(since uint64) (epoch uint64, events []store.Event, err error)
}

// Take writes a snapshot to a file: the keys as they are listed, page by page, then what
// changed meanwhile. Together these are all keys as of the epoch that it returns. Take goes
// on with what an earlier attempt left in file.part. progress, if given, is called with
// lines that say how far it is.
func Take(source Source, file string, now time.Time, progress func(string)) (epoch uint64, err error) {
	if progress == nil {
		progress = func(string) {}
	}
	partial := file + ".part"
	for {
		epoch, err = takePartial(source, partial, now, progress)
		if !errors.Is(err, store.ErrGone) {
			break
		}
		// Without the changes since the listing began, the listing is useless.
		progress("the state service no longer knows the changes since the listing began; beginning anew")
		if err = os.Remove(partial); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}
	return epoch, os.Rename(partial, file)
}

// takePartial completes the snapshot in the file partial.
func takePartial(
	source Source,
	partial string,
	now time.Time,
	progress func(string),
) (epoch uint64, err error) {
	f, err := os.OpenFile(partial, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	c, err := resume(f)
	if err != nil {
		return 0, err
	}
	if c.chain.blocks > 0 {
		progress(fmt.Sprintf("going on after %d keys of an earlier attempt", len(c.items)))
	}
	w := &writer{w: f, chain: c.chain}
	if err = c.appendRows(source, w, now, progress); err != nil {
		return 0, err
	}
	if err = c.appendEvents(source, w); err != nil {
		return 0, err
	}
	if err = w.writeBlock(endBlock, trailer{Epoch: c.epoch, Blocks: w.chain.blocks}); err != nil {
		return 0, err
	}
	return c.epoch, f.Sync()
}

// appendRows lists the keys that are not yet listed.
func (c *content) appendRows(source Source, w *writer, now time.Time, progress func(string)) error {
	keys := len(c.items)
	for !c.listed {
		page, err := source.List(c.lastKey)
		if err != nil {
			return err
		}
		if w.chain.blocks == 0 {
			c.epoch = page.Epoch
			if err = w.writeBlock(headBlock, header{Since: page.Epoch, AtMs: now.UnixMilli()}); err != nil {
				return err
			}
		}
		c.listed = !page.HasNext || len(page.Rows) == 0
		if err = w.writeBlock(rowsBlock, rowPage{Rows: page.Rows, More: !c.listed}); err != nil {
			return err
		}
		if len(page.Rows) > 0 {
			c.lastKey = page.Rows[len(page.Rows)-1].Key
		}
		keys += len(page.Rows)
		progress(fmt.Sprintf("%d keys", keys))
	}
	return nil
}

// appendEvents adds the changes up to an epoch that no listed row is later than.
func (c *content) appendEvents(source Source, w *writer) error {
	// Rows may be as late as the last page; its changes and all before must be there.
	last, err := source.List(c.lastKey)
	if err != nil {
		return err
	}
	for {
		epoch, events, err := source.Changes(c.epoch)
		if err != nil {
			return err
		}
		c.epoch = max(c.epoch, epoch)
		if err = w.writeBlock(eventsBlock, eventPage{To: c.epoch, Events: events}); err != nil {
			return err
		}
		if c.epoch >= last.Epoch {
			return nil
		}
	}
}

// resume reads what an earlier attempt left and puts the file where its whole blocks end.
// A file of no use is begun anew.
func resume(f *os.File) (*content, error) {
	// Why the file is incomplete does not matter: what comes before the fault is used.
	c, _ := readContent(f)
	if c == nil || c.chain.blocks == 0 || c.ended {
		return restart(f)
	}
	if err := f.Truncate(c.size); err != nil {
		return nil, err
	}
	_, err := f.Seek(c.size, io.SeekStart)
	return c, err
}

// restart leaves nothing but magic in the file.
func restart(f *os.File) (*content, error) {
	if err := f.Truncate(0); err != nil {
		return nil, err
	}
	if _, err := f.WriteAt([]byte(magic), 0); err != nil {
		return nil, err
	}
	_, err := f.Seek(0, io.SeekEnd)
	return &content{}, err
}
