package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

// compactTxBytes is the maximum size of one transaction of a compaction, in bytes. The limit also bounds the
// memory that a compaction takes.
const compactTxBytes = 1 << 20

// BackupTo copies a store into a new file. BackupTo fails if the file already exists.
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

// Restore creates a store from a backup, and returns the number of items. Restore fails if Check finds a
// fault in the backup or if the file of the new store already exists.
func Restore(backup, path string) (items int, err error) {
	items, faults, err := Check(backup)
	if err == nil && len(faults) > 0 {
		err = fmt.Errorf("backup is not in order: %w", faults[0])
	}
	if err != nil {
		return 0, err
	}
	return items, BackupTo(backup, path)
}

// Compact rewrites the file of a store without the space of deleted items, and returns the size of the file
// in bytes before and after the rewrite. No other process may have the store open. The disk needs free space
// for a second copy of the bytes in use.
func Compact(path string) (before, after int64, err error) {
	if before, err = fileSize(path); err != nil {
		return 0, 0, err
	}
	source, err := openBolt(path, readWrite)
	if err != nil {
		return 0, 0, fmt.Errorf("store %s: %w", path, err)
	}
	// An error of this close is ignored: the closed file has been replaced by then, or was not changed.
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

// compactInto copies the database into a new file at path, without the free pages.
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

// createFile writes a new file in the manner of replaceFile, and fails if a file already exists at path.
func createFile(path string, fill func(temporary string) error) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return errors.Join(err, fmt.Errorf("%s already exists and is not overwritten", path))
	}
	return replaceFile(path, fill)
}

// replaceFile calls fill to write a file under a temporary name, syncs the file and renames it to path. After
// a crash at any point, path names either the old file or the complete new file.
func replaceFile(path string, fill func(temporary string) error) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	// After the rename, the temporary file no longer exists, and Remove fails. If Remove fails for another
	// reason, the next call of replaceFile removes the temporary file.
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

// syncFile syncs a file or a folder to disk.
func syncFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
