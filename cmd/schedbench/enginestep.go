package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"dahliaford/internal/testcluster"
)

// engineCmd measures one engine in a process of its own, so that the memory is the engine's.
type engineCmd struct {
	Name   string        `arg:""`
	Folder string        `arg:"" type:"path"`
	Step   string        `arg:"" enum:"accept,fill,open,churn"`
	For    time.Duration `default:"2s"`
	Many   int           `default:"1"`
	Seed   uint64        `default:"1"`
}

// The steps of an engine.
const (
	engineAccept = "accept"
	engineFill   = "fill"
	engineOpen   = "open"
	engineChurn  = "churn"
)

const (
	recordSize   = 300 // bytes of an item's record: a body, names, times
	keySize      = 8   // bytes
	batchSize    = 2000
	churnedItems = 100_000 // that are in the store at any time while items come and go
	megabyte     = 1 << 20
)

func recordOf(random *rand.Rand) []byte {
	b := make([]byte, recordSize)
	for i := 0; i < len(b); i += 4 {
		binary.LittleEndian.PutUint32(b[i:], random.Uint32())
	}
	return b
}

func keyOf(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Run takes one step, and prints its figures.
func (c *engineCmd) Run() error {
	startedAt := time.Now()
	e, err := openEngine(c.Name, c.Folder)
	if err != nil {
		return err
	}
	figures := map[string]any{}
	random := rand.New(rand.NewPCG(c.Seed, 0))
	switch c.Step {
	case engineAccept:
		err = c.accept(e, figures)
	case engineFill: // and exits without closing the store, as a process that is killed
		err = c.fill(e, random)
		figures["fill_s"] = time.Since(startedAt).Seconds()
	case engineOpen:
		figures["open_ms"] = milliseconds(time.Since(startedAt))
		var n int
		if n, err = e.count(); err == nil {
			figures["open_and_read_ms"], figures["records"] = milliseconds(time.Since(startedAt)), n
		}
	case engineChurn:
		err = c.churn(e, random, figures)
	}
	if err != nil {
		return err
	}
	figures["rss_mb"] = ownPeakMemoryMB()
	if c.Step == engineChurn {
		if err := e.close(); err != nil {
			return err
		}
	}
	size, err := folderSize(c.Folder)
	if err != nil {
		return err
	}
	figures["disk_mb"] = float64(size) / megabyte
	raw, err := json.Marshal(figures)
	fmt.Println(string(raw))
	return err
}

// fill stores new items only.
func (c *engineCmd) fill(e engine, random *rand.Rand) error {
	for n := 0; n < c.Many; n += batchSize {
		var keys, values [][]byte
		for i := range batchSize {
			keys, values = append(keys, keyOf(uint64(n+i))), append(values, recordOf(random))
		}
		if err := e.commit(keys, values); err != nil {
			return err
		}
	}
	return nil
}

// churn stores items and deletes old ones, so that a hundred thousand are there at any time.
func (c *engineCmd) churn(e engine, random *rand.Rand, figures map[string]any) error {
	n := 0
	for ; n < c.Many; n += batchSize {
		var keys, values [][]byte
		for i := range batchSize {
			keys, values = append(keys, keyOf(uint64(n+i))), append(values, recordOf(random))
			if old := n + i - churnedItems; old >= 0 {
				keys, values = append(keys, keyOf(uint64(old))), append(values, nil)
			}
		}
		if err := e.commit(keys, values); err != nil {
			return err
		}
	}
	live := min(n, churnedItems) * (recordSize + keySize)
	figures["items"], figures["live_mb"] = n, float64(live)/megabyte
	return nil
}

// folderSize is the size in bytes of all files in a folder. A file that is deleted meanwhile does not count.
func folderSize(folder string) (size int64, err error) {
	err = filepath.WalkDir(folder, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
		return nil
	})
	return size, err
}

// ownPeakMemoryMB is the peak resident memory of this process; 0 if it cannot be read.
func ownPeakMemoryMB() float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return testcluster.PeakMemoryMB(string(raw))
}
