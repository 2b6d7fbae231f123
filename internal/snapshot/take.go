package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/harrierreel/harrierreel/internal/store"
)

// Source is the state service as a snapshot needs it.
type Source interface {
	// List gives a page of all keys, in order, that come after one.
	List(after string) (store.Page, error)
	// Changes gives what has changed since an epoch, and up to which; store.ErrGone
	// if the service does not remember that far back.
	Changes(since uint64) (epoch uint64, events []store.Event, err error)
}

// Take writes a snapshot to a file: the keys as they are listed, page by page, then what
// changed meanwhile, which together are all keys as of the epoch that it returns. What
// an earlier attempt left in file.part is gone on with. note, if given, is told how
// far it has got.
func Take(src Source, file string, now time.Time, note func(string)) (epoch uint64, err error) {
	if note == nil {
		note = func(string) {}
	}
	part := file + ".part"
	for {
		epoch, err = take(src, part, now, note)
		if !errors.Is(err, store.ErrGone) {
			break
		}
		// The changes since the listing began are forgotten: it is of no use.
		note("the state service no longer knows the changes since the listing began; beginning anew")
		if err = os.Remove(part); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}
	return epoch, os.Rename(part, file)
}

func take(src Source, part string, now time.Time, note func(string)) (epoch uint64, err error) {
	f, err := os.OpenFile(part, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	c, err := resume(f)
	if err != nil {
		return 0, err
	}
	w := &writer{f, c.blocks}
	if c.blocks.blocks > 0 {
		note(fmt.Sprintf("going on after %d keys of an earlier attempt", len(c.items)))
	}
	keys := len(c.items)
	for !c.listed {
		page, err := src.List(c.lastKey)
		if err != nil {
			return 0, err
		}
		if w.chain.blocks == 0 {
			c.to = page.Epoch
			if err = w.block(head, begin{Since: page.Epoch, AtMs: now.UnixMilli()}); err != nil {
				return 0, err
			}
		}
		c.listed = !page.HasNext || len(page.Rows) == 0
		if err = w.block(rows, listing{page.Rows, !c.listed}); err != nil {
			return 0, err
		}
		if len(page.Rows) > 0 {
			c.lastKey = page.Rows[len(page.Rows)-1].Key
		}
		keys += len(page.Rows)
		note(fmt.Sprintf("%d keys", keys))
	}
	// Rows may be as late as the last page; its changes and all before must be there.
	last, err := src.List(c.lastKey)
	if err != nil {
		return 0, err
	}
	for first := true; first || c.to < last.Epoch; first = false {
		to, ev, err := src.Changes(c.to)
		if err != nil {
			return 0, err
		}
		c.to = max(c.to, to)
		if err = w.block(events, changes{c.to, ev}); err != nil {
			return 0, err
		}
	}
	if err = w.block(end, finish{c.to, w.chain.blocks}); err != nil {
		return 0, err
	}
	return c.to, f.Sync()
}

// resume reads what an earlier attempt left and puts the file where whole blocks end.
// What can't be used is begun anew.
func resume(f *os.File) (*content, error) {
	c, err := read(f)
	if c == nil || c.blocks.blocks == 0 || c.ended {
		c = &content{}
		if err = f.Truncate(0); err == nil {
			_, err = f.WriteAt([]byte(magic), 0)
		}
		if err != nil {
			return nil, err
		}
		_, err = f.Seek(0, io.SeekEnd)
		return c, err
	}
	if err = f.Truncate(c.size); err != nil {
		return nil, err
	}
	_, err = f.Seek(c.size, io.SeekStart)
	return c, err
}
