package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/harrierreel/harrierreel/internal/store"
)

// State is all keys as of one epoch.
type State struct {
	Epoch   uint64
	BegunMs int64 // when the snapshot was begun, in Unix milliseconds
	Items   map[string]store.Item
}

// Read reads a complete snapshot. Its errors say whether the file is truncated or damaged
// (errors.Is with the errors of this package).
func Read(r io.Reader) (*State, error) {
	c, err := readContent(r)
	if err != nil {
		return nil, err
	}
	return &State{Epoch: c.epoch, BegunMs: c.header.AtMs, Items: c.items}, nil
}

// content is what was read of a file, complete or not.
type content struct {
	header  header
	mirror  *store.Mirror // puts keys into items
	items   map[string]store.Item
	lastKey string // the last one listed
	listed  bool   // every key was listed
	epoch   uint64 // up to which changes are known
	ended   bool   // the trailer was read
	chain   chain
	size    int64 // bytes of whole blocks, with magic
}

// readContent reads a file's blocks. Of an incomplete or damaged file it returns what comes
// before the fault, and nil if that is not even the beginning of a snapshot.
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
		case errors.Is(err, io.EOF) && c.ended:
			return c, nil
		case errors.Is(err, io.EOF):
			return c, blocks.truncated()
		case err != nil:
			return c, err
		case c.ended:
			return c, blocks.damaged("something follows its end")
		}
		if err = c.apply(kind, b, blocks.chain.blocks); err != nil {
			return c, blocks.damaged(err.Error())
		}
	}
}

// setItem stores a key's value; nil removes the key.
func (c *content) setItem(key string, value json.RawMessage, revision uint64) {
	if value == nil {
		delete(c.items, key)
		return
	}
	c.items[key] = store.Item{Key: key, Value: value, Revision: revision}
}

// apply takes the content of a block, which is the number-th of its file.
func (c *content) apply(kind blockKind, b []byte, number int) error {
	if (kind == headBlock) != (number == 1) {
		return errors.New("blocks out of order")
	}
	switch kind {
	case headBlock:
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
		c.listed = !page.More
	case eventsBlock:
		var page eventPage
		if err := json.Unmarshal(b, &page); err != nil {
			return err
		}
		c.mirror.ApplyEvents(page.To, page.Events)
		c.epoch = page.To
	case endBlock:
		var last trailer
		if err := json.Unmarshal(b, &last); err != nil {
			return err
		}
		c.ended = true
		if last.Blocks != number-1 || last.Epoch != c.epoch || !c.listed {
			return errors.New("its end does not fit what is there")
		}
	default:
		return fmt.Errorf("a block of unknown kind %q", byte(kind))
	}
	return nil
}
