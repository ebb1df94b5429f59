package store

import (
	"errors"
	"fmt"
	"io"
	"os"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// ErrNotFound means that the store has no item with the given id.
var ErrNotFound = errors.New("no such item")

// Reader reads a store. While a Reader is open, no process can open the store for writing.
type Reader struct{ disk *bolt }

// OpenReader opens a store for reading. OpenReader fails if another process has the store open for writing.
func OpenReader(path string) (*Reader, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	d, err := openBolt(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	return &Reader{d}, nil
}

// Close closes the store.
func (r *Reader) Close() error { return r.disk.close() }

// Each calls do for each record. fault is nil for a valid record. Otherwise fault says why the record is
// invalid: the checksum is wrong, or the state machine of package lifecycle does not allow the record's
// events. The item of an invalid record may be nil. A fault with an empty id concerns the store as a whole.
// An error that do returns ends the iteration.
func (r *Reader) Each(do func(id string, it *lifecycle.Item, fault error) error) error {
	return r.disk.forEach(do)
}

// Find returns the item with the given id, or the error ErrNotFound if the store has no such item.
func (r *Reader) Find(id string) (it *lifecycle.Item, err error) {
	err = r.disk.view(func(tx *bbolt.Tx) error {
		record := tx.Bucket(itemsBucket).Get([]byte(id))
		if record == nil {
			return ErrNotFound
		}
		it, err = decodeRecord([]byte(id), record)
		return err
	})
	return it, err
}

// Backup writes a complete copy of the store to w.
func (r *Reader) Backup(w io.Writer) error { return r.disk.writeTo(w) }

// Check reads the whole store at path, and returns the number of valid items and all faults in the store.
func Check(path string) (items int, faults []error, err error) {
	r, err := OpenReader(path)
	if err != nil {
		return 0, nil, err
	}
	defer closeReadOnly(r)
	err = r.Each(func(id string, _ *lifecycle.Item, fault error) error {
		if fault != nil {
			faults = append(faults, prefixItemID(id, fault))
		} else {
			items++
		}
		return nil
	})
	return items, faults, err
}
