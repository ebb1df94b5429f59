package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"dahliaford/internal/store/lifecycle"
)

// lockTimeout is the time that openBolt waits for another process to release the file lock.
const lockTimeout = 200 * time.Millisecond

// access is the mode in which a file is opened.
type access int

const (
	readWrite access = iota
	readOnly
)

// bolt implements the interface disk with a bbolt database file.
type bolt struct {
	db *bbolt.DB
	// metaPageErr is not nil if one of the two meta pages is corrupt. If the newer page is corrupt, bbolt falls
	// back to the older page, and so loses the latest commit without an error.
	metaPageErr error
}

var _ disk = (*bolt)(nil)

// openBolt opens a database file and checks its format. In mode readWrite, openBolt creates the file if it
// does not exist, and migrates the file if it has an older format.
func openBolt(path string, mode access) (*bolt, error) {
	var db *bbolt.DB
	err := catchPanics(func() (err error) {
		// The list of free pages is stored in the file (NoFreelistSync is not set). Without the stored list, bbolt
		// scans all pages in a goroutine of its own when it opens the file. A corrupt page makes that goroutine
		// panic, which no caller can recover, and the process ends.
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: mode == readOnly,
			FreelistType: bbolt.FreelistMapType})
		return err
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, errors.New("file is open in another process")
	}
	if err != nil {
		return nil, err
	}
	b := &bolt{db: db, metaPageErr: checkMetaPages(path, db.Info().PageSize)}
	err = b.view(checkFormat)
	if err != nil && mode == readWrite { // only a file that fails the format check is modified
		err = catchPanics(func() error { return db.Update(createOrMigrate) })
	}
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return b, nil
}

// Layout of the meta pages of bbolt, which describe the latest commits. A file has two meta pages, and
// commits write to them alternately.
const (
	pageHeaderBytes = 16
	// metaBytes is the length, in bytes, of the fields of a meta page that describe a commit. The checksum of
	// these fields (FNV-1a, 8 bytes) follows the fields.
	metaBytes = 56
	metaPages = 2
)

// checkMetaPages returns an error if one of the file's meta pages is corrupt. A crash cannot corrupt a meta
// page: the page's data lies within one sector, and the disk writes a sector completely or not at all.
func checkMetaPages(path string, pageSize int) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer closeReadOnly(f)
	for i := range metaPages {
		var meta [metaBytes + 8]byte
		if _, err := f.ReadAt(meta[:], int64(i*pageSize+pageHeaderBytes)); err != nil {
			return err
		}
		hash := fnv.New64a()
		_, _ = hash.Write(meta[:metaBytes]) // hash.Hash documents that Write never returns an error
		if hash.Sum64() != binary.NativeEndian.Uint64(meta[metaBytes:]) {
			return fmt.Errorf("meta page %d is corrupt, wrong checksum: the latest commit may be missing", i)
		}
	}
	return nil
}

// closeReadOnly closes a file that was only read. closeReadOnly ignores an error of Close, since such an
// error cannot lose data.
func closeReadOnly(f io.Closer) { _ = f.Close() }

// catchPanics calls do and returns its error. catchPanics turns two failures of bbolt into errors: the panic
// at a corrupt page, and the memory fault when bbolt reads the mapped file past its end.
func catchPanics(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("file is corrupt: bbolt panicked: %v", cause)
		}
	}()
	return do()
}

// view calls do within a read-only transaction of the database.
func (b *bolt) view(do func(*bbolt.Tx) error) error {
	return catchPanics(func() error { return b.db.View(do) })
}

// bytesInUse returns the number of bytes in use in a database file of the given size, which is the size
// without the free pages. bbolt reuses free pages before the file grows.
func (b *bolt) bytesInUse(fileSize int64) int64 { return fileSize - int64(b.db.Stats().FreeAlloc) }

// commit writes a batch of changes in one transaction, and returns the number of stored items and the number
// of bytes in use in the file afterwards.
func (b *bolt) commit(commitTime lifecycle.Micros, batch []Change) (items int, bytes int64, err error) {
	var fileSize int64
	err = catchPanics(func() error {
		return b.db.Update(func(tx *bbolt.Tx) (err error) {
			items, err = applyBatch(tx, commitTime, batch)
			fileSize = tx.Size()
			return err
		})
	})
	return items, b.bytesInUse(fileSize), err
}

// applyBatch writes a batch of changes within a transaction, and returns the number of stored items
// afterwards. The stored commit time never decreases, even if the wall clock is set back.
func applyBatch(tx *bbolt.Tx, commitTime lifecycle.Micros, batch []Change) (int, error) {
	items, meta := tx.Bucket(itemsBucket), tx.Bucket(metaBucket)
	count := decodeUint(meta.Get(countKey))
	for _, c := range batch {
		key := []byte(c.Item.ID)
		exists := items.Get(key) != nil
		var err error
		if c.Delete {
			err = items.Delete(key)
		} else {
			err = items.Put(key, c.record)
		}
		if err != nil {
			return 0, err
		}
		switch {
		case c.Delete && exists:
			count--
		case !c.Delete && !exists:
			count++
		}
	}
	if err := meta.Put(countKey, encodeUint(count)); err != nil {
		return 0, err
	}
	if latest := decodeUint(meta.Get(latestCommitKey)); uint64(commitTime) > latest {
		if err := meta.Put(latestCommitKey, encodeUint(uint64(commitTime))); err != nil {
			return 0, err
		}
	}
	return int(count), nil
}

// forEach calls do for each record. fault is nil for a valid record. Otherwise fault says why the record is
// invalid: the checksum is wrong, or the state machine of package lifecycle does not allow the record's
// events. The item of an invalid record may be nil. A fault with an empty id concerns the store as a whole.
// An error that do returns ends the iteration.
func (b *bolt) forEach(do func(id string, it *lifecycle.Item, fault error) error) error {
	return b.view(func(tx *bbolt.Tx) error {
		if b.metaPageErr != nil {
			if err := do("", nil, b.metaPageErr); err != nil {
				return err
			}
		}
		n := uint64(0)
		err := tx.Bucket(itemsBucket).ForEach(func(key, record []byte) error {
			n++
			it, err := decodeRecord(key, record)
			if err == nil {
				err = it.Check()
			}
			return do(string(key), it, err)
		})
		if err != nil {
			return err
		}
		if counted := decodeUint(tx.Bucket(metaBucket).Get(countKey)); counted != n {
			return do("", nil, fmt.Errorf("store has %d records, but the count of records in its file is %d",
				n, counted))
		}
		return nil
	})
}

// commitTime returns the time of the latest commit to the store.
func (b *bolt) commitTime() (at lifecycle.Micros, err error) {
	err = b.view(func(tx *bbolt.Tx) error {
		at = lifecycle.Micros(decodeUint(tx.Bucket(metaBucket).Get(latestCommitKey)))
		return nil
	})
	return at, err
}

// size returns the number of stored items and the number of bytes in use in the file.
func (b *bolt) size() (items int, bytes int64, err error) {
	var fileSize int64
	err = b.view(func(tx *bbolt.Tx) error {
		items = int(decodeUint(tx.Bucket(metaBucket).Get(countKey)))
		fileSize = tx.Size()
		return nil
	})
	return items, b.bytesInUse(fileSize), err
}

// writeTo writes a complete copy of the database.
func (b *bolt) writeTo(w io.Writer) error {
	return b.view(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

func (b *bolt) close() error { return b.db.Close() }
