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

// formatVersion is the version of the format on disk. Version 1 had neither checksums nor a count of the
// records.
const formatVersion = 2

var (
	itemsBucket     = []byte("items") // records by item id; a record is a checksum, then an item in JSON
	metaBucket      = []byte("meta")
	versionKey      = []byte("version")
	latestCommitKey = []byte("seen")  // key of the latest commit's time, in microseconds since 1970
	countKey        = []byte("count") // key of the number of items; a wrong number shows a lost record
)

// checksumBytes is the length of the checksum at the start of each record.
const checksumBytes = 4

// errCorrupt is the error for a record that differs from the record that was written.
var errCorrupt = errors.New("record is corrupt: its checksum or its content does not match")

// castagnoliTable computes the table for CRC-32C checksums at the first use, so that a program that links
// this package but opens no store does not pay for the computation.
var castagnoliTable = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// checksum returns the CRC-32C checksum of a record's key and payload.
func checksum(key, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoliTable()), castagnoliTable(), payload)
}

// addChecksum returns a record: the checksum, followed by the payload. The checksum also covers the key, so
// that a record stored under the wrong key is detected like a flipped bit.
func addChecksum(key, payload []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, checksum(key, payload)), payload...)
}

// decodeRecord verifies the checksum of a record and decodes the item. The error is errCorrupt if the
// checksum is wrong or the item cannot be decoded.
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

// decodeUint decodes a number of the meta bucket. decodeUint returns 0 for a missing number.
func decodeUint(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// encodeUint encodes a number for the meta bucket.
func encodeUint(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// checkFormat returns an error if the file is not a store of this format version.
func checkFormat(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil || tx.Bucket(itemsBucket) == nil {
		return errors.New("file is not a job store")
	}
	if v := decodeUint(meta.Get(versionKey)); v != formatVersion {
		return fmt.Errorf("unsupported format version %d, want version %d", v, formatVersion)
	}
	return nil
}

// createOrMigrate creates the buckets and the meta data of a new store, or migrates a store of an older
// format.
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

// migrateFromVersion1 adds a checksum to each record of format version 1, and stores the number of records.
// All changes are in one transaction: after a crash during the migration, the file still has version 1.
func migrateFromVersion1(items, meta *bbolt.Bucket) error {
	records := map[string][]byte{}
	err := items.ForEach(func(key, record []byte) error {
		var it lifecycle.Item
		if err := json.Unmarshal(record, &it); err != nil {
			return fmt.Errorf("decoding item %q of format version 1: %w", key, err)
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
