package main

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"
)

// engine is an embedded store as a job store would use it: batches that are on disk once commit returns. A
// nil value deletes.
type engine interface {
	commit(keys, values [][]byte) error
	count() (int, error)
	close() error
}

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
	return nil, usageError("unknown engine %q", name)
}

// silentLogger is a pebble.Logger that drops everything but fatal errors.
type silentLogger struct{}

// Infof drops a message.
func (silentLogger) Infof(string, ...any) {}

// Errorf drops a message: the error is returned, too.
func (silentLogger) Errorf(string, ...any) {}

// Fatalf panics, as it must not return.
func (silentLogger) Fatalf(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

type boltEngine struct{ *bbolt.DB }

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

type pebbleEngine struct{ *pebble.DB }

func (p pebbleEngine) commit(keys, values [][]byte) error {
	batch := p.NewBatch()
	defer func() { _ = batch.Close() }() // it gives memory back; whether the batch is on disk Commit says
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
