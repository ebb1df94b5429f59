package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"
)

// engine is an embedded store as a job store would use it: batches that are on disk once
// commit returns. A nil value deletes.
type engine interface {
	commit(keys, values [][]byte) error
	count() (int, error)
	close() error
}

var engineNames = []string{"bbolt", "pebble"}

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
		db, err := pebble.Open(folder, &pebble.Options{Cache: cache, MemTableSize: 4 << 20, Logger: silentLogger{}})
		if err != nil {
			return nil, err
		}
		return pebbleEngine{db}, nil
	}
	return nil, misuse("unknown engine %q", name)
}

type silentLogger struct{}

func (silentLogger) Infof(string, ...any)           {}
func (silentLogger) Errorf(string, ...any)          {}
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
	defer batch.Close()
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

// engineCmd measures one engine in a process of its own, so that its memory is its own.
type engineCmd struct {
	Name   string        `arg:""`
	Folder string        `arg:"" type:"path"`
	Step   string        `arg:"" enum:"accept,fill,open,churn"`
	For    time.Duration `default:"2s"`
	Many   int           `default:"1"`
	Seed   uint64        `default:"1"`
}

const (
	recordSize = 300 // bytes of an item's record: a body, names, times
	fillBatch  = 2000
)

func recordOf(random *rand.Rand) []byte {
	b := make([]byte, recordSize)
	for i := 0; i < len(b); i += 4 {
		binary.LittleEndian.PutUint32(b[i:], random.Uint32())
	}
	return b
}

func keyOf(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Run takes one step, and prints its figures.
func (c *engineCmd) Run() error {
	began := time.Now()
	e, err := openEngine(c.Name, c.Folder)
	if err != nil {
		return err
	}
	figures := map[string]any{}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	switch c.Step {
	case "accept":
		err = c.accept(e, figures)
	case "fill": // and ends without a word, as one that is killed
		for n := 0; n < c.Many && err == nil; n += fillBatch {
			var keys, values [][]byte
			for i := range fillBatch {
				keys, values = append(keys, keyOf(uint64(n+i))), append(values, recordOf(random))
			}
			err = e.commit(keys, values)
		}
		figures["fill_s"] = time.Since(began).Seconds()
	case "open":
		figures["open_ms"] = float64(time.Since(began).Microseconds()) / 1000
		var n int
		if n, err = e.count(); err == nil {
			figures["open_and_read_ms"], figures["records"] = float64(time.Since(began).Microseconds())/1000, n
		}
	case "churn": // items come and go; a hundred thousand are open at any time
		const open = 100_000
		n := 0
		for ; n < c.Many && err == nil; n += fillBatch {
			var keys, values [][]byte
			for i := range fillBatch {
				keys, values = append(keys, keyOf(uint64(n+i))), append(values, recordOf(random))
				if n+i >= open {
					keys, values = append(keys, keyOf(uint64(n+i-open))), append(values, nil)
				}
			}
			err = e.commit(keys, values)
		}
		figures["items"], figures["live_mb"] = n, float64(min(n, open)*(recordSize+8))/(1<<20)
	}
	if err != nil {
		return err
	}
	figures["rss_mb"] = rss()
	if c.Step == "churn" {
		if err := e.close(); err != nil {
			return err
		}
	}
	size := int64(0)
	filepath.WalkDir(c.Folder, func(_ string, d fs.DirEntry, err error) error {
		if info, e := d.Info(); err == nil && e == nil && !d.IsDir() {
			size += info.Size()
		}
		return nil
	})
	figures["disk_mb"] = float64(size) / (1 << 20)
	raw, err := json.Marshal(figures)
	fmt.Println(string(raw))
	return err
}

// accept lets so many callers store one item after another, each on disk before the next;
// commits carry what has come meanwhile.
func (c *engineCmd) accept(e engine, figures map[string]any) error {
	type accept struct {
		key, value []byte
		done       chan error
	}
	inbox := make(chan accept, c.Many)
	end := time.Now().Add(c.For)
	var callers, writer sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	commits := 0
	writer.Go(func() {
		for first := range inbox {
			batch := []accept{first}
			for more := true; more && len(batch) < 1024; {
				select {
				case a, open := <-inbox:
					if more = open; open {
						batch = append(batch, a)
					}
				default:
					more = false
				}
			}
			var keys, values [][]byte
			for _, a := range batch {
				keys, values = append(keys, a.key), append(values, a.value)
			}
			err := e.commit(keys, values)
			commits++
			for _, a := range batch {
				a.done <- err
			}
		}
	})
	errs := make(chan error, c.Many)
	for i := range c.Many {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
			done := make(chan error, 1)
			var mine []time.Duration
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				inbox <- accept{keyOf(uint64(n*c.Many + i)), recordOf(random), done}
				if err := <-done; err != nil {
					errs <- err
					return
				}
				mine = append(mine, time.Since(began))
			}
			mu.Lock()
			took = append(took, mine...)
			mu.Unlock()
		})
	}
	callers.Wait()
	close(inbox)
	writer.Wait()
	select {
	case err := <-errs:
		return err
	default:
	}
	slices.Sort(took)
	figures["accepts_per_s"] = float64(len(took)) / c.For.Seconds()
	figures["p99_ms"] = float64(took[len(took)*99/100].Microseconds()) / 1000
	figures["a_commit"] = float64(len(took)) / float64(max(commits, 1))
	return nil
}

// rss is this process's resident memory in MB.
func rss() float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// engines weighs the embedded stores that a job store could be built on.
func engines(ctx context.Context, seed uint64, say sayer) (*report, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	rep := &report{ok: true, figures: map[string]any{}, table: [][]string{{"engine", "step", "figures"}}}
	for _, name := range engineNames {
		all := map[string]any{}
		run := func(step, folder string, args ...string) error {
			say("%s: %s %s", name, step, strings.Join(args, " "))
			args = append([]string{"engine", name, folder, step, "--seed", fmt.Sprint(seed)}, args...)
			out, err := exec.CommandContext(ctx, self, args...).Output()
			if err != nil {
				return fmt.Errorf("%s, %s: %w", name, step, err)
			}
			var figures map[string]any
			if err := json.Unmarshal(out, &figures); err != nil {
				return err
			}
			label := step
			if step == "accept" {
				label += " " + args[len(args)-1]
			}
			all[label] = figures
			rep.table = append(rep.table, []string{name, label, strings.TrimSpace(string(out))})
			return nil
		}
		folder, err := os.MkdirTemp("", "engine")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		for _, callers := range []string{"1", "16", "256"} {
			own := filepath.Join(folder, "accept"+callers)
			if err := os.Mkdir(own, 0o777); err != nil {
				return nil, err
			}
			if err := run("accept", own, "--for", "3s", "--many", callers); err != nil {
				return nil, err
			}
		}
		large, churned := filepath.Join(folder, "large"), filepath.Join(folder, "churn")
		if err := errors.Join(os.Mkdir(large, 0o777), os.Mkdir(churned, 0o777)); err != nil {
			return nil, err
		}
		if err := errors.Join(run("fill", large, "--many", "1000000"), run("open", large),
			run("churn", churned, "--many", "2000000")); err != nil {
			return nil, err
		}
		rep.figures[name] = all
	}
	return rep, nil
}
