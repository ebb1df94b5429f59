package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

// compactTxBytes bounds a transaction of a compaction, and so the memory that it takes.
const compactTxBytes = 1 << 20

// BackupTo copies a store into a file that does not exist yet.
func BackupTo(path, backup string) error {
	r, err := OpenReader(path)
	if err != nil {
		return err
	}
	defer closeReadOnly(r)
	return createFile(backup, func(temporary string) error {
		f, err := os.OpenFile(temporary, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		return errors.Join(r.Backup(f), f.Close())
	})
}

// Restore makes a store of a backup that is in order, where there is no store yet. It returns the number of
// its items.
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

// Compact gives back the space of deleted items, and returns the size of the file in bytes. No other
// process may have the store open, and there must be space for a second copy of what is in use.
func Compact(path string) (before, after int64, err error) {
	if before, err = fileSize(path); err != nil {
		return 0, 0, err
	}
	source, err := openBolt(path, readWrite)
	if err != nil {
		return 0, 0, fmt.Errorf("store %s: %w", path, err)
	}
	// The file that it closes has been replaced, or was not changed.
	defer func() { _ = source.close() }()
	if source.metaPageErr != nil {
		return 0, 0, fmt.Errorf("store %s: %w", path, source.metaPageErr)
	}
	if err := replaceFile(path, source.compactInto); err != nil {
		return 0, 0, err
	}
	if after, err = fileSize(path); err != nil {
		return 0, 0, err
	}
	return before, after, nil
}

// compactInto copies the records into a new file.
func (b *bolt) compactInto(path string) error {
	target, err := bbolt.Open(path, 0o600, &bbolt.Options{FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return err
	}
	err = catchPanics(func() error { return bbolt.Compact(target, b.db, compactTxBytes) })
	return errors.Join(err, target.Close())
}

func fileSize(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// createFile is replaceFile for a file that does not exist yet.
func createFile(path string, fill func(temporary string) error) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return errors.Join(err, fmt.Errorf("%s exists: it is not replaced", path))
	}
	return replaceFile(path, fill)
}

// replaceFile fills a file under a temporary name, syncs it and renames it: after a crash the path has the
// old file or the complete new one.
func replaceFile(path string, fill func(temporary string) error) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	// Where the file was renamed there is nothing to remove; otherwise the next call removes what stays.
	defer func() { _ = os.Remove(temporary) }()
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
