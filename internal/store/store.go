// Package store keeps items on disk in a bbolt database, and commits many changes with one sync. Package
// lifecycle defines which changes an item allows. Package store guarantees that each confirmed change
// survives a crash: after a restart, a confirmed record is either complete or reported as corrupt.
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
	Path     string // path of the database file
	MaxItems int    // maximum number of items, unfinished and answered; 0 means one million
	MaxBytes int64  // maximum size of the file without its free pages; 0 means 1 GiB
}

const (
	defaultMaxItems  = 1_000_000
	defaultMaxBytes  = 1 << 30
	maxQueuedChanges = 4096 // maximum number of changes that wait for a commit
	maxBatchChanges  = 1024 // maximum number of changes in one commit
	// updateReserveDivisor determines the reserve for changes of stored items: new items may not use the last
	// MaxBytes/updateReserveDivisor bytes. Without the reserve, there could be no space to store the answer of
	// an accepted item.
	updateReserveDivisor = 8
)

// Change is the new state of an item, or the deletion of an item.
type Change struct {
	Item   *lifecycle.Item
	Delete bool
	// Done is called once, in the order of the changes, by the goroutine that writes changes to disk. The error
	// is nil if the change is on disk. Done must not block.
	Done func(error)

	isNew  bool   // the change was made by Accept and is counted in Store.pendingNew
	record []byte // encoded item; the caller encodes the item to relieve the single goroutine that writes
}

// Reasons why Accept or Update does not queue a change.
var (
	// ErrFull means that MaxItems or MaxBytes is reached. New items are rejected until items are deleted.
	ErrFull = errors.New("store is full: its quota of items or bytes is used up")
	// ErrBusy means that changes arrive faster than the disk stores them, and too many changes are waiting.
	ErrBusy = errors.New("store is busy: too many changes are waiting for the disk")
	// ErrClosed means that Close was called.
	ErrClosed = errors.New("store is closed")
)

// DiskError is the error of the first change that could not be written to disk, and of all later changes.
// After a failed sync, the store cannot tell which of the unsynced writes are on disk, so the store accepts
// no more changes until it is opened again.
type DiskError struct{ Cause error }

// Error implements the error interface.
func (e *DiskError) Error() string {
	return "writing to disk failed, and the store accepts no more changes: " + e.Cause.Error()
}

// Unwrap returns the error of the failed write.
func (e *DiskError) Unwrap() error { return e.Cause }

// disk is the database file of a store. Tests use a different disk to make commits wait or fail.
type disk interface {
	// commit writes a batch of changes in one transaction, and returns the number of stored items and the number
	// of bytes in use in the file afterwards. If the error is nil, the whole batch is on disk.
	commit(commitTime lifecycle.Micros, batch []Change) (items int, bytes int64, err error)
	// forEach calls the function for each record. bolt.forEach describes the function's arguments.
	forEach(func(id string, it *lifecycle.Item, fault error) error) error
	// commitTime returns the time of the latest commit to the database.
	commitTime() (lifecycle.Micros, error)
	// size returns the number of stored items and the number of bytes in use in the file.
	size() (items int, bytes int64, err error)
	// writeTo writes a complete copy of the database.
	writeTo(w io.Writer) error
	close() error
}

// Store is an open store. A Store is safe for concurrent use.
type Store struct {
	cfg    Config
	disk   disk
	queue  chan Change
	writer sync.WaitGroup

	mu         sync.Mutex // guards closed, diskErr, items, pendingNew and bytes
	closed     bool
	diskErr    error // DiskError of the first failed write; no change is stored afterwards
	items      int   // number of items on disk
	pendingNew int   // number of items from Accept that are not on disk yet
	bytes      int64 // bytes of the file in use, as of the latest commit
}

// Open opens a store, or creates one if the file does not exist. Open returns an error of a single line if
// another process has the file open, if the format version is unknown, or if the file is not a store.
func Open(cfg Config) (*Store, error) {
	if cfg.MaxItems == 0 {
		cfg.MaxItems = defaultMaxItems
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.MaxItems < 0 || cfg.MaxBytes < 0 {
		return nil, errors.New("store: MaxItems and MaxBytes must not be negative")
	}
	d, err := openBolt(cfg.Path, readWrite)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", cfg.Path, err)
	}
	return start(cfg, d)
}

// start returns a store that uses the open database d, and starts the goroutine that writes changes to disk.
func start(cfg Config, d disk) (*Store, error) {
	s := &Store{cfg: cfg, disk: d, queue: make(chan Change, maxQueuedChanges)}
	var err error
	if s.items, s.bytes, err = d.size(); err != nil {
		return nil, errors.Join(err, d.close())
	}
	s.writer.Go(s.writeLoop)
	return s, nil
}

// Recovered is the content of a store at its opening.
type Recovered struct {
	Items   []*lifecycle.Item
	Corrupt []error // one error for each corrupt record; corrupt records are not in Items
	Clock   lifecycle.Clock
}

// Recover reads all items of the store. now is the current time of the wall clock.
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

// prefixItemID adds an item's id to the fault of the item's record. A fault of the store as a whole has no id
// and stays unchanged.
func prefixItemID(id string, fault error) error {
	if id == "" {
		return fault
	}
	return fmt.Errorf("item %q: %w", id, fault)
}

// Accept queues a new item to be stored. Accept returns ErrFull if the store is full, ErrBusy if too many
// changes are waiting for the disk, and a DiskError or ErrClosed if the store accepts no more changes. c.Done
// is called later, and only if Accept returns nil.
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
	// The other half of the queue is reserved for changes of accepted items, so that these items can get their
	// answers.
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

// Update queues a change of a stored item: the item's new state or its deletion. Update returns the same
// errors as Accept except ErrFull. c.Done is called later, and only if Update returns nil.
func (s *Store) Update(c Change) error {
	if err := c.encode(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueue(c)
}

// encode sets the change's record: the item's new state in the form that is stored.
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

// enqueue queues a change for the goroutine that writes changes to disk, without waiting for the disk. The
// caller holds s.mu.
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

// writeLoop commits the queued changes until the queue is closed. All changes that arrive during a commit are
// committed together afterwards, up to maxBatchChanges in one commit.
func (s *Store) writeLoop() {
	for first := range s.queue {
		batch := s.fillBatch(first)
		err := s.commit(batch)
		for _, c := range batch {
			c.Done(err)
		}
	}
}

// fillBatch returns a batch of the first change and the changes that are already queued behind the first
// change, at most maxBatchChanges in all.
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

// commit writes a batch of changes to disk and updates the store's counts of items and bytes.
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

// Err returns the DiskError because of which the store accepts no more changes, or nil if no write has
// failed.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diskErr
}

// Backup writes a consistent snapshot of the store to w. Changes continue to be stored during the backup.
func (s *Store) Backup(w io.Writer) error { return s.disk.writeTo(w) }

// Close writes the queued changes and closes the store. A second call of Close has no effect.
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
