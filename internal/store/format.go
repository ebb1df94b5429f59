package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// formatVersion is that of the format. Version 1 had neither checksums nor a count of the records.
const formatVersion = 2

var (
	itemsBucket     = []byte("items") // by id: the checksum, and the item in JSON
	metaBucket      = []byte("meta")
	versionKey      = []byte("version")
	latestCommitKey = []byte("seen")  // the latest time of a commit, in microseconds
	countKey        = []byte("count") // of items: it shows that a record is missing
)

// checksumBytes is the length of a record's checksum, which comes first in it.
const checksumBytes = 4

// errCorrupt is the fault of a record that is not as it was written.
var errCorrupt = errors.New("the record is broken: its checksum does not fit")

// castagnoliTable is made at its first use: a program that only links the store does not pay for it.
var castagnoliTable = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

func checksum(key, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoliTable()), castagnoliTable(), payload)
}

// addChecksum puts a record's checksum before it. The checksum covers the key: a record under another's key is as
// corrupt as a flipped bit.
func addChecksum(key, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(key, payload)), payload...)
}

// decodeRecord decodes a record. The error is errCorrupt.
func decodeRecord(key, record []byte) (*lifecycle.Item, error) {
	if len(record) < checksumBytes ||
		binary.BigEndian.Uint32(record) != checksum(key, record[checksumBytes:]) {
		return nil, errCorrupt
	}
	it := &lifecycle.Item{}
	if err := json.Unmarshal(record[checksumBytes:], it); err != nil || it.ID != string(key) {
		return nil, errCorrupt
	}
	return it, nil
}

// decodeUint reads a number of the meta bucket; one that is absent is 0.
func decodeUint(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

func encodeUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// checkFormat reports why a file is no store of this version.
func checkFormat(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil || tx.Bucket(itemsBucket) == nil {
		return errors.New("this is no job store")
	}
	if v := decodeUint(meta.Get(versionKey)); v != formatVersion {
		return fmt.Errorf("format version %d, this program knows %d", v, formatVersion)
	}
	return nil
}

// createOrMigrate creates what a new store needs, and migrates an older format to this one.
func createOrMigrate(tx *bbolt.Tx) error {
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
		return errors.Join(meta.Put(versionKey, encodeUint(formatVersion)), meta.Put(countKey, encodeUint(0)))
	case decodeUint(v) == 1:
		return migrateFromVersion1(items, meta)
	}
	return checkFormat(tx)
}

// migrateFromVersion1 seals and counts the records of version 1. After a crash in it the file still has version 1.
func migrateFromVersion1(items, meta *bbolt.Bucket) error {
	records := map[string][]byte{}
	err := items.ForEach(func(key, record []byte) error {
		var it lifecycle.Item
		if err := json.Unmarshal(record, &it); err != nil {
			return fmt.Errorf("item %q of version 1: %w", key, err)
		}
		records[string(key)] = append([]byte(nil), record...)
		return nil
	})
	if err != nil {
		return err
	}
	for key, record := range records {
		if err := items.Put([]byte(key), addChecksum([]byte(key), record)); err != nil {
			return err
		}
	}
	return errors.Join(meta.Put(versionKey, encodeUint(formatVersion)),
		meta.Put(countKey, encodeUint(uint64(len(records)))))
}
