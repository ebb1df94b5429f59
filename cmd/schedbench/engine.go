package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"
)

// engine is an embedded key-value store with the operations that a job store needs.
type engine interface {
	// commit stores the values under the keys in one batch. A nil value deletes the key. When commit returns
	// without an error, the batch is on disk.
	commit(keys, values [][]byte) error
	// count returns the number of keys in the store. It reads all keys.
	count() (int, error)
	close() error
}

// openEngine opens or creates a store of the engine "bbolt" or "pebble" in a folder.
func openEngine(name, folder string) (engine, error) {
	switch name {
	case "bbolt":
		db, err := bbolt.Open(filepath.Join(folder, "db"), 0o666, &bbolt.Options{NoFreelistSync: true,
			FreelistType: bbolt.FreelistMapType})
		if err != nil {
			return nil, err
		}
		return boltEngine{db}, nil
	case "pebble":
		cache := pebble.NewCache(8 << 20)
		defer cache.Unref()
		db, err := pebble.Open(folder, &pebble.Options{Cache: cache, MemTableSize: 4 << 20,
			Logger: silentLogger{}})
		if err != nil {
			return nil, err
		}
		return pebbleEngine{db}, nil
	}
	return nil, usageError("unknown storage engine %q: want bbolt or pebble", name)
}

// silentLogger is a pebble.Logger that discards all messages but fatal errors.
type silentLogger struct{}

// Infof discards a message.
func (silentLogger) Infof(string, ...any) {}

// Errorf discards a message, because Pebble also returns the error to the caller.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf panics, because pebble.Logger requires that Fatalf does not return.
func (silentLogger) Fatalf(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

// boltEngine is a bbolt database as an engine.
type boltEngine struct{ *bbolt.DB }

// items is the name of the bbolt bucket that holds all records.
var items = []byte("items")

func (b boltEngine) commit(keys, values [][]byte) error {
	return b.Update(func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(items)
		if err != nil {
			return err
		}
		for i := range keys {
			if values[i] == nil {
				err = errors.Join(err, bucket.Delete(keys[i]))
			} else {
				err = errors.Join(err, bucket.Put(keys[i], values[i]))
			}
		}
		return err
	})
}

func (b boltEngine) count() (n int, err error) {
	err = b.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(items)
		if bucket == nil {
			return nil
		}
		return bucket.ForEach(func(_, _ []byte) error { n++; return nil })
	})
	return n, err
}

func (b boltEngine) close() error { return b.Close() }

// pebbleEngine is a Pebble database as an engine.
type pebbleEngine struct{ *pebble.DB }

func (p pebbleEngine) commit(keys, values [][]byte) error {
	batch := p.NewBatch()
	defer func() { _ = batch.Close() }() // Close only releases memory; Commit reports write errors
	var err error
	for i := range keys {
		if values[i] == nil {
			err = errors.Join(err, batch.Delete(keys[i], nil))
		} else {
			err = errors.Join(err, batch.Set(keys[i], values[i], nil))
		}
	}
	if err != nil {
		return err
	}
	return batch.Commit(pebble.Sync)
}

func (p pebbleEngine) count() (n int, err error) {
	it, err := p.NewIter(nil)
	if err != nil {
		return 0, err
	}
	for it.First(); it.Valid(); it.Next() {
		n++
	}
	return n, it.Close()
}

func (p pebbleEngine) close() error { return p.Close() }
