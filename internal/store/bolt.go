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

// lockTimeout is how long an opening waits for another process to release the file.
const lockTimeout = 200 * time.Millisecond

// access is how a file is opened.
type access int

const (
	readWrite access = iota
	readOnly
)

// bolt is a disk in a file of bbolt.
type bolt struct {
	db *bbolt.DB
	// metaPageErr says that one of the two meta pages is corrupt. If it was the newest, the engine goes back by
	// a commit without reporting it.
	metaPageErr error
}

var _ disk = (*bolt)(nil)

func openBolt(path string, mode access) (*bolt, error) {
	var db *bbolt.DB
	err := catchPanics(func() (err error) {
		// The list of free pages is kept in the file: without it, opening walks all pages in a goroutine of the
		// engine's own, where a corrupt one ends the process.
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: mode == readOnly,
			FreelistType: bbolt.FreelistMapType})
		return err
	})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, errors.New("another process has it open")
	}
	if err != nil {
		return nil, err
	}
	b := &bolt{db: db, metaPageErr: checkMetaPages(path, db.Info().PageSize)}
	err = b.view(checkFormat)
	if err != nil && mode == readWrite { // nothing is written to a file that is in order
		err = catchPanics(func() error { return db.Update(createOrMigrate) })
	}
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return b, nil
}

// The layout of the engine's meta pages, of which a file has two, alternately written.
const (
	pageHeaderBytes = 16
	metaBytes       = 56 // before their checksum, which is FNV-1a
	metaPages       = 2
)

// checkMetaPages reports whether one of the file's meta pages is corrupt. A crash does not corrupt one: it
// lies within a sector, which is written completely or not at all.
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
		_, _ = hash.Write(meta[:metaBytes]) // a hash returns no error
		if hash.Sum64() != binary.NativeEndian.Uint64(meta[metaBytes:]) {
			return fmt.Errorf("meta page %d is broken: the last commit may be missing", i)
		}
	}
	return nil
}

// closeReadOnly closes a file that was only read: an error loses nothing.
func closeReadOnly(f io.Closer) { _ = f.Close() }

// catchPanics turns the engine's panic over a corrupt page, and the fault of reading past the file's end,
// into an error.
func catchPanics(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("the file is broken: %v", cause)
		}
	}()
	return do()
}

func (b *bolt) view(do func(*bbolt.Tx) error) error {
	return catchPanics(func() error { return b.db.View(do) })
}

// bytesInUse is the size of the file without its free pages, which are used again before it grows.
func (b *bolt) bytesInUse(fileSize int64) int64 { return fileSize - int64(b.db.Stats().FreeAlloc) }

// commit writes a batch, and returns how many items and bytes the store has then.
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

// applyBatch writes a batch within a transaction, and returns how many items there are then.
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

// forEach reads all records. fault is what is invalid about one, by its checksum or by what may happen to
// an item; then there may be no item. A fault without an id concerns the store as a whole.
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
			return do("", nil, fmt.Errorf("%d records, and %d are counted", n, counted))
		}
		return nil
	})
}

// commitTime returns the latest time of a commit.
func (b *bolt) commitTime() (at lifecycle.Micros, err error) {
	err = b.view(func(tx *bbolt.Tx) error {
		at = lifecycle.Micros(decodeUint(tx.Bucket(metaBucket).Get(latestCommitKey)))
		return nil
	})
	return at, err
}

// size returns how many items there are, and how many bytes of the file are in use.
func (b *bolt) size() (items int, bytes int64, err error) {
	var fileSize int64
	err = b.view(func(tx *bbolt.Tx) error {
		items = int(decodeUint(tx.Bucket(metaBucket).Get(countKey)))
		fileSize = tx.Size()
		return nil
	})
	return items, b.bytesInUse(fileSize), err
}

func (b *bolt) writeTo(w io.Writer) error {
	return b.view(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

func (b *bolt) close() error { return b.db.Close() }
