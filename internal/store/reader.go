package store

import (
	"errors"
	"fmt"
	"io"
	"os"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// ErrNotFound says that there is no such item.
var ErrNotFound = errors.New("no such item")

// Reader reads a store that no process has open for writing.
type Reader struct{ disk *bolt }

// OpenReader opens a store to read it.
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

// Each reads all items. fault is what is invalid about a record, by its checksum or by what may happen to
// an item; then there may be no item. A fault without an id concerns the store as a whole. An error of do
// ends the reading.
func (r *Reader) Each(do func(id string, it *lifecycle.Item, fault error) error) error {
	return r.disk.forEach(do)
}

// Find reads one item. The error is ErrNotFound where there is none.
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

// Backup writes a complete copy.
func (r *Reader) Backup(w io.Writer) error { return r.disk.writeTo(w) }

// Check returns each fault of a store, and how many items are in order.
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
