package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// Reader reads a store that no process has open for writing.
type Reader struct{ disk *bolt }

// OpenReader opens a store to read it.
func OpenReader(path string) (*Reader, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	d, err := openBolt(path, true)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	return &Reader{d}, nil
}

// Close closes it.
func (r *Reader) Close() error { return r.disk.close() }

// Each reads all items. broken says what is wrong with a record, by its checksum or by what
// an item may become; then there may be no item.
func (r *Reader) Each(do func(id string, it *lifecycle.Item, broken error) error) error {
	return r.disk.forEach(do)
}

// ErrNotFound: there is no such item.
var ErrNotFound = errors.New("no such item")

// Find reads one item.
func (r *Reader) Find(id string) (it *lifecycle.Item, err error) {
	err = r.disk.view(func(tx *bbolt.Tx) error {
		record := tx.Bucket(itemsBucket).Get([]byte(id))
		if record == nil {
			return ErrNotFound
		}
		it, err = unseal([]byte(id), record)
		return err
	})
	return it, err
}

// Backup writes a whole copy.
func (r *Reader) Backup(w io.Writer) error { return r.disk.writeTo(w) }

// Check tells each thing that is wrong with a store, a line each, and how many items it has.
func Check(path string) (items int, faults []error, err error) {
	r, err := OpenReader(path)
	if err != nil {
		return 0, nil, err
	}
	defer r.Close()
	err = r.Each(func(id string, it *lifecycle.Item, broken error) error {
		if broken != nil {
			faults = append(faults, withID(id, broken))
		} else {
			items++
		}
		return nil
	})
	return items, faults, err
}

// replaceFile fills a new file in one step: under another name, on disk, and then renamed.
func replaceFile(path string, fill func(temporary string) error) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	defer os.Remove(temporary) // where it was not renamed
	if err := fill(temporary); err != nil {
		return err
	}
	if err := syncFile(temporary); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncFile(filepath.Dir(path))
}

func syncFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// BackupTo copies a store into a file that does not exist yet.
func BackupTo(path, backup string) error {
	r, err := OpenReader(path)
	if err != nil {
		return err
	}
	defer r.Close()
	return createFile(backup, func(temporary string) error {
		f, err := os.OpenFile(temporary, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		return errors.Join(r.Backup(f), f.Close())
	})
}

func createFile(path string, fill func(temporary string) error) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return errors.Join(err, fmt.Errorf("%s exists: it is not replaced", path))
	}
	return replaceFile(path, fill)
}

// Restore makes a store of a backup that is in order, where there is none yet.
func Restore(backup, path string) (items int, err error) {
	items, faults, err := Check(backup)
	if err == nil && len(faults) > 0 {
		err = fmt.Errorf("the backup is not in order: %w", faults[0])
	}
	if err != nil {
		return 0, err
	}
	return items, BackupTo(backup, path)
}

// Compact gives space back that deleted items took. It needs the store for itself, and room
// for what is in use once more.
func Compact(path string) (before, after int64, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, 0, err
	}
	source, err := openBolt(path, false)
	if err != nil {
		return 0, 0, fmt.Errorf("store %s: %w", path, err)
	}
	defer source.close()
	if source.metaFault != nil {
		return 0, 0, fmt.Errorf("store %s: %w", path, source.metaFault)
	}
	err = replaceFile(path, func(temporary string) error {
		target, err := bbolt.Open(temporary, 0o600, &bbolt.Options{FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return err
		}
		err = catchPanics(func() error { return bbolt.Compact(target, source.db, 1<<20) })
		return errors.Join(err, target.Close())
	})
	if err != nil {
		return 0, 0, err
	}
	now, err := os.Stat(path)
	if err != nil {
		return 0, 0, err
	}
	return info.Size(), now.Size(), nil
}
