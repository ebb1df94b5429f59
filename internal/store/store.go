// Package store keeps items on disk, on bbolt, with many changes to a sync. What an item may
// become is for package life to say; this one only promises that what it has confirmed is
// there after a crash, whole or told as broken.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"dahliaford/internal/store/lifecycle"
)

// Config says how a store is kept.
type Config struct {
	Path     string // of its file
	MaxItems int    // open and answered ones together; 0: a million
	MaxBytes int64  // of the file; 0: 1 GiB
}

const (
	defaultItems = 1_000_000
	defaultBytes = 1 << 30
	maxQueue     = 4096 // changes that wait for the disk
	maxBatch     = 1024 // changes in a commit
	// updateReserve is the part of the quota that only changes to known items may use: what was
	// accepted must be able to end.
	updateReserve = 8 // one in so many
)

// Change is an item's new state, or its end: the item is forgotten.
type Change struct {
	Item   *lifecycle.Item
	Delete bool
	// Done is told once, from the writer's goroutine, in the order of the changes: nil when
	// the change is on disk. It must not block.
	Done func(error)

	isNew  bool
	record []byte // the item as it is written, made by the caller and not by the one writer
}

// The errors that a change ends with.
var (
	// ErrFull: the quota is used up. Nothing new is accepted until items are forgotten.
	ErrFull = errors.New("the store is full")
	// ErrBusy: the disk does not keep up; changes wait already.
	ErrBusy = errors.New("the disk does not keep up")
	// ErrClosed: the store is closed.
	ErrClosed = errors.New("the store is closed")
)

// DiskError ends all changes after one that the disk did not take: after a failed sync nobody
// knows what of the unsynced is there. The store takes nothing more until it is opened anew.
type DiskError struct{ Cause error }

func (e *DiskError) Error() string {
	return "the disk failed, nothing more is stored: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Cause }

// disk is what a store needs of its engine. A commit is on disk, whole, when it returns nil.
type disk interface {
	commit(seen lifecycle.Micros, batch []Change) (items int, bytes int64, err error)
	forEach(func(id string, it *lifecycle.Item, broken error) error) error
	seen() (lifecycle.Micros, error)
	size() (items int, bytes int64, err error)
	writeTo(w io.Writer) error
	close() error
}

// Store is an open store. It is safe for many goroutines.
type Store struct {
	cfg    Config
	disk   disk
	queue  chan Change
	writer sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	diskErr    error
	items      int // on disk
	pendingNew int // accepted, and on their way there
	bytes      int64
}

// Open opens a store, or makes one. Another process that has it open, a version that this
// program does not know, and a file that is none are one clear line each.
func Open(cfg Config) (*Store, error) {
	if cfg.MaxItems == 0 {
		cfg.MaxItems = defaultItems
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultBytes
	}
	if cfg.MaxItems < 0 || cfg.MaxBytes < 0 {
		return nil, errors.New("store: a quota must not be negative")
	}
	d, err := openBolt(cfg.Path, false)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", cfg.Path, err)
	}
	return start(cfg, d)
}

func start(cfg Config, d disk) (*Store, error) {
	s := &Store{cfg: cfg, disk: d, queue: make(chan Change, maxQueue)}
	var err error
	if s.items, s.bytes, err = d.size(); err != nil {
		return nil, errors.Join(err, d.close())
	}
	s.writer.Go(s.writeLoop)
	return s, nil
}

// Recovered is what a store held when it was opened.
type Recovered struct {
	Items   []*lifecycle.Item
	Corrupt []error // a line for each record that cannot be trusted; none of them is in Items
	Clock   lifecycle.Clock
}

// Recover reads all items. The clock is what it shows now.
func (s *Store) Recover(clock lifecycle.Micros) (*Recovered, error) {
	seen, err := s.disk.seen()
	if err != nil {
		return nil, err
	}
	r := &Recovered{Clock: lifecycle.ClockSince(clock, seen)}
	err = s.disk.forEach(func(id string, it *lifecycle.Item, broken error) error {
		if broken != nil {
			r.Corrupt = append(r.Corrupt, withID(id, broken))
		} else {
			r.Items = append(r.Items, it)
		}
		return nil
	})
	return r, err
}

// withID puts the item's name before what is wrong with it, where it is about one item.
func withID(id string, broken error) error {
	if id == "" {
		return broken
	}
	return fmt.Errorf("item %q: %w", id, broken)
}

// Accept stores a new item. When the store is full or the disk does not keep up, that is the
// error, and Done is not called.
func (s *Store) Accept(c Change) error {
	if err := c.encode(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	spare := s.cfg.MaxBytes / updateReserve
	if s.items+s.pendingNew >= s.cfg.MaxItems || s.bytes+int64(len(c.Item.Body)) > s.cfg.MaxBytes-spare {
		return ErrFull
	}
	// Room in the queue is kept for the ends of what was accepted.
	if len(s.queue) > maxQueue/2 {
		return ErrBusy
	}
	c.isNew = true
	err := s.enqueue(c)
	if err == nil {
		s.pendingNew++
	}
	return err
}

// Update stores what has become of an item, or forgets it.
func (s *Store) Update(c Change) error {
	if err := c.encode(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueue(c)
}

func (c *Change) encode() error {
	if c.Delete {
		return nil
	}
	payload, err := json.Marshal(c.Item)
	c.record = seal([]byte(c.Item.ID), payload)
	return err
}

// enqueue queues a change. It never waits for the disk.
func (s *Store) enqueue(c Change) error {
	switch {
	case s.diskErr != nil:
		return s.diskErr
	case s.closed:
		return ErrClosed
	}
	select {
	case s.queue <- c:
		return nil
	default:
		return ErrBusy
	}
}

// writeLoop carries changes to the disk, all that have come during one commit with the next.
func (s *Store) writeLoop() {
	for first := range s.queue {
		batch := append(make([]Change, 0, maxBatch), first)
		for more := true; more && len(batch) < maxBatch; {
			select {
			case c, open := <-s.queue:
				if more = open; open {
					batch = append(batch, c)
				}
			default:
				more = false
			}
		}
		err := s.commit(batch)
		for _, c := range batch {
			c.Done(err)
		}
	}
}

func (s *Store) commit(batch []Change) error {
	s.mu.Lock()
	failed := s.diskErr
	s.mu.Unlock()
	if failed != nil {
		return failed
	}
	items, bytes, err := s.disk.commit(lifecycle.Micros(time.Now().UnixMicro()), batch)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.diskErr = &DiskError{err}
		return s.diskErr
	}
	for _, c := range batch {
		if c.isNew {
			s.pendingNew--
		}
	}
	s.items, s.bytes = items, bytes
	return nil
}

// Err tells why the store takes nothing more; nil: it does.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskErr
}

// Backup writes a whole copy, as of one moment, while the store goes on.
func (s *Store) Backup(w io.Writer) error { return s.disk.writeTo(w) }

// Close writes what waits, and closes the store.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.queue)
	s.mu.Unlock()
	s.writer.Wait()
	return s.disk.close()
}
