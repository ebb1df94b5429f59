package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// version is the format's. 1 had neither checksums nor a number of records.
const version = 2

var (
	itemsBucket = []byte("items") // by id: checksum, and the item in JSON
	metaBucket  = []byte("meta")
	versionKey  = []byte("version")
	seenKey     = []byte("seen")  // the latest time, in microseconds
	countKey    = []byte("count") // of items: a record that is missing shows by it
)

// castagnoliTable is made at its first use: a program that only links the store does not pay for it.
var castagnoliTable = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// lockTimeout is the longest that an opening waits for another process to let go.
const lockTimeout = 200 * time.Millisecond

type bolt struct {
	db *bbolt.DB
	// metaFault says that the newest of the two pages that tell which state holds may be the
	// broken one: the engine then goes back by a commit without a word.
	metaFault error
}

var errCorrupt = errors.New("the record is broken: its checksum does not fit")

func openBolt(path string, readOnly bool) (*bolt, error) {
	// The list of free pages is kept in the file: without it, opening walks all pages in a
	// goroutine of the engine's own, where a broken one ends the process.
	var db *bbolt.DB
	err := catchPanics(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly,
			FreelistType: bbolt.FreelistMapType})
		return err
	})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, errors.New("another process has it open")
	}
	if err != nil {
		return nil, err
	}
	b := &bolt{db: db, metaFault: checkMetaPages(path, db.Info().PageSize)}
	if err = b.view(checkFormat); err != nil && !readOnly { // nothing is written to one that is in order
		err = catchPanics(func() error { return db.Update(prepare) })
	}
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return b, nil
}

// checkMetaPages tells whether one of the file's two meta pages is broken. A crash does not break
// one: it lies within a sector, which is written whole or not at all.
func checkMetaPages(path string, pageSize int) error {
	const (
		head   = 16 // of a page
		summed = 56 // bytes of the meta before its checksum, which is FNV-1a
	)
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for i := range 2 {
		var meta [summed + 8]byte
		if _, err := f.ReadAt(meta[:], int64(i*pageSize+head)); err != nil {
			return err
		}
		h := fnv.New64a()
		h.Write(meta[:summed])
		if h.Sum64() != binary.NativeEndian.Uint64(meta[summed:]) {
			return fmt.Errorf("meta page %d is broken: the last commit may be missing", i)
		}
	}
	return nil
}

// catchPanics turns the engine's panic over a broken page, and the fault of reading past the file's
// end, into an error.
func catchPanics(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if broke := recover(); broke != nil {
			err = fmt.Errorf("the file is broken: %v", broke)
		}
	}()
	return do()
}

func (b *bolt) view(do func(*bbolt.Tx) error) error {
	return catchPanics(func() error { return b.db.View(do) })
}

func decodeUint(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func checkFormat(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil || tx.Bucket(itemsBucket) == nil {
		return errors.New("this is no job store")
	}
	if v := decodeUint(meta.Get(versionKey)); v != version {
		return fmt.Errorf("format version %d, this program knows %d", v, version)
	}
	return nil
}

// prepare makes what a new store needs, and brings an older format up to this one.
func prepare(tx *bbolt.Tx) error {
	items, err := tx.CreateBucketIfNotExists(itemsBucket)
	if err != nil {
		return err
	}
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	switch v := meta.Get(versionKey); {
	case v == nil:
		return errors.Join(meta.Put(versionKey, encodeUint(version)), meta.Put(countKey, encodeUint(0)))
	case decodeUint(v) == 1:
		return migrate(items, meta)
	}
	return checkFormat(tx)
}

// migrate seals the records of version 1, and counts them. A crash in it leaves version 1.
func migrate(items, meta *bbolt.Bucket) error {
	old := map[string][]byte{}
	if err := items.ForEach(func(k, v []byte) error {
		var it lifecycle.Item
		if err := json.Unmarshal(v, &it); err != nil {
			return fmt.Errorf("item %q of version 1: %w", k, err)
		}
		old[string(k)] = append([]byte(nil), v...)
		return nil
	}); err != nil {
		return err
	}
	for k, v := range old {
		if err := items.Put([]byte(k), seal([]byte(k), v)); err != nil {
			return err
		}
	}
	return errors.Join(meta.Put(versionKey, encodeUint(version)), meta.Put(countKey, encodeUint(uint64(len(old)))))
}

func checksum(key, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoliTable()), castagnoliTable(), payload)
}

// seal puts a record's checksum before it. It covers the key: a record under another's key is
// as broken as a flipped bit.
func seal(key, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(key, payload)), payload...)
}

func unseal(key, record []byte) (*lifecycle.Item, error) {
	if len(record) < 4 || binary.BigEndian.Uint32(record) != checksum(key, record[4:]) {
		return nil, errCorrupt
	}
	it := &lifecycle.Item{}
	if err := json.Unmarshal(record[4:], it); err != nil || it.ID != string(key) {
		return nil, errCorrupt
	}
	return it, nil
}

func (b *bolt) commit(seen lifecycle.Micros, batch []Change) (count int, size int64, err error) {
	err = catchPanics(func() (err error) {
		count, size, err = b.update(seen, batch)
		return err
	})
	return count, size - int64(b.db.Stats().FreeAlloc), err
}

func (b *bolt) update(seen lifecycle.Micros, batch []Change) (n int, size int64, err error) {
	err = b.db.Update(func(tx *bbolt.Tx) error {
		items, meta := tx.Bucket(itemsBucket), tx.Bucket(metaBucket)
		count := decodeUint(meta.Get(countKey))
		for _, c := range batch {
			key := []byte(c.Item.ID)
			exists := items.Get(key) != nil
			if c.Delete {
				if exists {
					count--
				}
				if err := items.Delete(key); err != nil {
					return err
				}
				continue
			}
			if !exists {
				count++
			}
			if err := items.Put(key, c.record); err != nil {
				return err
			}
		}
		n, size = int(count), tx.Size()
		if err := meta.Put(countKey, encodeUint(count)); err != nil {
			return err
		}
		if old := decodeUint(meta.Get(seenKey)); uint64(seen) > old {
			return meta.Put(seenKey, encodeUint(uint64(seen)))
		}
		return nil
	})
	return n, size, err
}

// forEach reads all records. broken says what is wrong with one, by its checksum or by what an
// item may become; without an id it is about the store as a whole.
func (b *bolt) forEach(do func(id string, it *lifecycle.Item, broken error) error) error {
	return b.view(func(tx *bbolt.Tx) error {
		n := uint64(0)
		if b.metaFault != nil {
			if err := do("", nil, b.metaFault); err != nil {
				return err
			}
		}
		if err := tx.Bucket(itemsBucket).ForEach(func(k, v []byte) error {
			n++
			it, err := unseal(k, v)
			if err == nil {
				err = it.Check()
			}
			return do(string(k), it, err)
		}); err != nil {
			return err
		}
		if want := decodeUint(tx.Bucket(metaBucket).Get(countKey)); want != n {
			return do("", nil, fmt.Errorf("%d records, and %d are counted", n, want))
		}
		return nil
	})
}

func (b *bolt) seen() (at lifecycle.Micros, err error) {
	err = b.view(func(tx *bbolt.Tx) error {
		at = lifecycle.Micros(decodeUint(tx.Bucket(metaBucket).Get(seenKey)))
		return nil
	})
	return at, err
}

// size tells how many items there are, and how many bytes of the file are in use: what is
// free in it is used again before it grows.
func (b *bolt) size() (items int, bytes int64, err error) {
	err = b.view(func(tx *bbolt.Tx) error {
		items = int(decodeUint(tx.Bucket(metaBucket).Get(countKey)))
		bytes = tx.Size()
		return nil
	})
	return items, bytes - int64(b.db.Stats().FreeAlloc), err
}

func (b *bolt) writeTo(w io.Writer) error {
	return b.view(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

func (b *bolt) close() error { return b.db.Close() }
