package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/harrierreel/harrierreel/internal/store"
)

// State holds all keys of the store as of one epoch.
type State struct {
	Epoch   uint64
	BegunMs int64 // when the snapshot was started, in Unix milliseconds
	Items   map[string]store.Item
}

// Read reads a complete snapshot. Its errors wrap ErrTruncated or ErrDamaged.
func Read(r io.Reader) (*State, error) {
	c, err := readContent(r)
	if err != nil {
		return nil, err
	}
	return &State{Epoch: c.epoch, BegunMs: c.header.AtMs, Items: c.items}, nil
}

// content is what was read from a file, which may be incomplete.
type content struct {
	header    header
	mirror    *store.Mirror // applies rows and events to items
	items     map[string]store.Item
	lastKey   string // last key that was listed
	allListed bool   // all keys were listed
	epoch     uint64 // epoch up to which changes are included
	complete  bool   // the trailer was read
	chain     chain
	size      int64 // length of the magic and the complete blocks, in bytes
}

// readContent reads the blocks of a file. For an incomplete or damaged file it returns an error
// together with the content before the fault, or with nil if the file doesn't begin with magic.
func readContent(r io.Reader) (*content, error) {
	blocks, err := newReader(r)
	if err != nil {
		return nil, err
	}
	c := &content{items: map[string]store.Item{}}
	c.mirror = store.NewMirror(c.setItem)
	for {
		kind, b, err := blocks.readBlock()
		c.chain = blocks.chain
		c.size = blocks.size
		switch {
		case errors.Is(err, io.EOF) && c.complete:
			return c, nil
		case errors.Is(err, io.EOF):
			return c, blocks.truncatedError()
		case err != nil:
			return c, err
		case c.complete:
			return c, blocks.damagedError("something follows its end")
		}
		if err = c.apply(kind, b, blocks.chain.blocks); err != nil {
			return c, blocks.damagedError(err.Error())
		}
	}
}

// setItem stores the value of a key. A nil value removes the key.
func (c *content) setItem(key string, value json.RawMessage, revision uint64) {
	if value == nil {
		delete(c.items, key)
		return
	}
	c.items[key] = store.Item{Key: key, Value: value, Revision: revision}
}

// apply adds the content of a block. number is the position of the block in the file, from 1.
func (c *content) apply(kind blockKind, b []byte, number int) error {
	if (kind == headerBlock) != (number == 1) {
		return errors.New("blocks out of order")
	}
	switch kind {
	case headerBlock:
		if err := json.Unmarshal(b, &c.header); err != nil {
			return err
		}
		c.epoch = c.header.Since
	case rowsBlock:
		var page rowPage
		if err := json.Unmarshal(b, &page); err != nil {
			return err
		}
		for _, item := range page.Rows {
			c.mirror.Put(item.Key, item.Value, item.Revision)
			c.lastKey = item.Key
		}
		c.allListed = !page.More
	case eventsBlock:
		var page eventPage
		if err := json.Unmarshal(b, &page); err != nil {
			return err
		}
		c.mirror.ApplyEvents(page.To, page.Events)
		c.epoch = page.To
	case trailerBlock:
		var last trailer
		if err := json.Unmarshal(b, &last); err != nil {
			return err
		}
		c.complete = true
		if last.Blocks != number-1 || last.Epoch != c.epoch || !c.allListed {
			return errors.New("its end does not fit what is there")
		}
	default:
		return fmt.Errorf("a block of unknown kind %q", byte(kind))
	}
	return nil
}
