// Package store keeps items on disk, in bbolt, with many changes to a sync. What may happen to an item is
// decided by package lifecycle; this one promises that what it has confirmed is there after a crash,
// complete or reported as corrupt.
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

// Config is the configuration of a store.
type Config struct {
	Path     string // of its file
	MaxItems int    // unfinished and answered ones together; 0: a million
	MaxBytes int64  // of the file; 0: 1 GiB
}

const (
	defaultMaxItems  = 1_000_000
	defaultMaxBytes  = 1 << 30
	maxQueuedChanges = 4096 // changes that wait for the disk
	maxBatchChanges  = 1024 // changes in a commit
	// updateReserveDivisor is the part of MaxBytes, one in so many, that only changes to known items may use: what was
	// accepted must be able to end.
	updateReserveDivisor = 8
)

// Change is an item's new state, or its deletion.
type Change struct {
	Item   *lifecycle.Item
	Delete bool
	// Done is called once, from the writer's goroutine, in the order of the changes. The error is nil when the
	// change is on disk. It must not block.
	Done func(error)

	isNew  bool
	record []byte // the encoded item, made by the caller so that the one writer does not have to
}

// The errors of a change that is not stored.
var (
	// ErrFull says that a quota is used up. No new item is accepted until others are deleted.
	ErrFull = errors.New("the store is full")
	// ErrBusy says that the disk does not keep up: too many changes are waiting.
	ErrBusy = errors.New("the disk does not keep up")
	// ErrClosed says that the store is closed.
	ErrClosed = errors.New("the store is closed")
)

// DiskError ends all changes from the first one on that the disk did not take: after a failed sync it is
// unknown which of the unsynced writes are there. The store takes nothing more until it is opened anew.
type DiskError struct{ Cause error }

// Error implements error.
func (e *DiskError) Error() string {
	return "the disk failed, nothing more is stored: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Cause }

// disk is what a store needs of its engine. A commit is on disk as a whole when it returns nil.
type disk interface {
	commit(commitTime lifecycle.Micros, batch []Change) (items int, bytes int64, err error)
	forEach(func(id string, it *lifecycle.Item, fault error) error) error
	commitTime() (lifecycle.Micros, error)
	size() (items int, bytes int64, err error)
	writeTo(w io.Writer) error
	close() error
}

// Store is an open store. It is safe for concurrent use.
type Store struct {
	cfg    Config
	disk   disk
	queue  chan Change
	writer sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	closed     bool
	diskErr    error // the first failure; nothing is stored after it
	items      int   // on disk
	pendingNew int   // accepted, and not on disk yet
	bytes      int64
}

// Open opens a store, or creates one. A file that another process has open, one of an unknown version and
// one that is no store are errors of one clear line each.
func Open(cfg Config) (*Store, error) {
	if cfg.MaxItems == 0 {
		cfg.MaxItems = defaultMaxItems
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.MaxItems < 0 || cfg.MaxBytes < 0 {
		return nil, errors.New("store: a quota must not be negative")
	}
	d, err := openBolt(cfg.Path, readWrite)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", cfg.Path, err)
	}
	return start(cfg, d)
}

func start(cfg Config, d disk) (*Store, error) {
	s := &Store{cfg: cfg, disk: d, queue: make(chan Change, maxQueuedChanges)}
	var err error
	if s.items, s.bytes, err = d.size(); err != nil {
		return nil, errors.Join(err, d.close())
	}
	s.writer.Go(s.writeLoop)
	return s, nil
}

// Recovered is what a store had when it was opened.
type Recovered struct {
	Items   []*lifecycle.Item
	Corrupt []error // one for each record that cannot be trusted; none of those is in Items
	Clock   lifecycle.Clock
}

// Recover reads all items. The argument is what the clock shows now.
func (s *Store) Recover(now lifecycle.Micros) (*Recovered, error) {
	commitTime, err := s.disk.commitTime()
	if err != nil {
		return nil, err
	}
	r := &Recovered{Clock: lifecycle.ClockAfterRestart(now, commitTime)}
	err = s.disk.forEach(func(id string, it *lifecycle.Item, fault error) error {
		if fault != nil {
			r.Corrupt = append(r.Corrupt, prefixItemID(id, fault))
		} else {
			r.Items = append(r.Items, it)
		}
		return nil
	})
	return r, err
}

// prefixItemID puts the item's id before a fault, where it concerns one item.
func prefixItemID(id string, fault error) error {
	if id == "" {
		return fault
	}
	return fmt.Errorf("item %q: %w", id, fault)
}

// Accept stores a new item. The error is ErrFull or ErrBusy when the store is full or the disk does not
// keep up, a DiskError or ErrClosed when it takes nothing more; then Done is not called.
func (s *Store) Accept(c Change) error {
	if err := c.encode(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maxBytes := s.cfg.MaxBytes - s.cfg.MaxBytes/updateReserveDivisor
	if s.items+s.pendingNew >= s.cfg.MaxItems || s.bytes+int64(len(c.Item.Body)) > maxBytes {
		return ErrFull
	}
	// The rest of the queue is reserved for the ends of accepted items.
	if len(s.queue) > maxQueuedChanges/2 {
		return ErrBusy
	}
	c.isNew = true
	err := s.enqueue(c)
	if err == nil {
		s.pendingNew++
	}
	return err
}

// Update stores the new state of an item, or deletes it. The error is as in Accept, but never ErrFull.
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
	if err != nil {
		return fmt.Errorf("encoding item %q: %w", c.Item.ID, err)
	}
	c.record = addChecksum([]byte(c.Item.ID), payload)
	return nil
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

// writeLoop commits changes until the queue is closed. Those that arrive during one commit go together with
// the next.
func (s *Store) writeLoop() {
	for first := range s.queue {
		batch := s.fillBatch(first)
		err := s.commit(batch)
		for _, c := range batch {
			c.Done(err)
		}
	}
}

// fillBatch takes the changes that are queued behind the first, without waiting for more.
func (s *Store) fillBatch(first Change) []Change {
	batch := append(make([]Change, 0, maxBatchChanges), first)
	for len(batch) < maxBatchChanges {
		select {
		case c, open := <-s.queue:
			if !open {
				return batch
			}
			batch = append(batch, c)
		default:
			return batch
		}
	}
	return batch
}

func (s *Store) commit(batch []Change) error {
	if err := s.Err(); err != nil {
		return err
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

// Err returns the DiskError after which the store takes nothing more; nil: there was none.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskErr
}

// Backup writes a complete copy, as of one moment, while the store goes on.
func (s *Store) Backup(w io.Writer) error { return s.disk.writeTo(w) }

// Close writes the queued changes and closes the store. A second call does nothing.
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
