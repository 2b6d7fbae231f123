package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
)

// Source is the part of the key-value store's API that Take uses.
type Source interface {
	// List returns a page of the keys that sort after the given one, in order.
	List(after string) (store.Page, error)
	// Changes returns the changes since an epoch, and the epoch up to which they reach. It
	// returns store.ErrGone if the store no longer has all of these changes.
	Changes(since uint64) (epoch uint64, events []store.Event, err error)
}

// Take writes a snapshot to a file and returns its epoch. It lists all keys, page by page, and
// then adds the changes made in the meantime; together these give all keys as of that epoch.
// Take resumes from what an earlier attempt left in file.part. progress, if not nil, is called
// with messages about the progress.
func Take(source Source, file string, now time.Time, progress func(string)) (epoch uint64, err error) {
	if progress == nil {
		progress = func(string) {}
	}
	partial := file + ".part"
	for {
		epoch, err = writePartial(source, partial, now, progress)
		if !errors.Is(err, store.ErrGone) {
			break
		}
		// A listing is of no use without the changes made since it began.
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

// writePartial writes the snapshot to the file partial, or completes the one that it holds.
func writePartial(
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
	if err = w.writeBlock(trailerBlock, trailer{Epoch: c.epoch, Blocks: w.chain.blocks}); err != nil {
		return 0, err
	}
	return c.epoch, f.Sync()
}

// appendRows lists the keys that are not yet listed, and writes them. Before the first page it
// writes the header.
func (c *content) appendRows(source Source, w *writer, now time.Time, progress func(string)) error {
	keys := len(c.items)
	for !c.allListed {
		page, err := source.List(c.lastKey)
		if err != nil {
			return err
		}
		if w.chain.blocks == 0 {
			c.epoch = page.Epoch
			if err = w.writeBlock(headerBlock, header{Since: page.Epoch, AtMs: now.UnixMilli()}); err != nil {
				return err
			}
		}
		c.allListed = !page.HasNext || len(page.Rows) == 0
		if err = w.writeBlock(rowsBlock, rowPage{Rows: page.Rows, More: !c.allListed}); err != nil {
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

// appendEvents writes the changes up to an epoch that is at least as late as every listed row.
func (c *content) appendEvents(source Source, w *writer) error {
	// No listed row is later than the epoch of a page that is requested now. The changes must
	// reach that epoch for the snapshot to be consistent.
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

// resume reads what an earlier attempt left, and truncates the file after its last complete block.
// It restarts a file without any block, and one that is already complete.
func resume(f *os.File) (*content, error) {
	// An error is ignored, because it only concerns what follows the returned content.
	c, _ := readContent(f)
	if c == nil || c.chain.blocks == 0 || c.complete {
		return restart(f)
	}
	if err := f.Truncate(c.size); err != nil {
		return nil, err
	}
	_, err := f.Seek(c.size, io.SeekStart)
	return c, err
}

// restart replaces the content of the file by the magic.
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
