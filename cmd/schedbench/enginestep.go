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

// engineCmd is the command that runs one step of the measurement of an engine. The engines drill runs it in a
// separate process, so that the process's peak memory is that of the engine alone.
type engineCmd struct {
	Name   string        `arg:""`
	Folder string        `arg:"" type:"path"`
	Step   string        `arg:"" enum:"accept,fill,open,churn"`
	For    time.Duration `default:"2s"`
	Count  int           `name:"many" default:"1"` // number of callers (accept) or items (fill, churn)
	Seed   uint64        `default:"1"`
}

// The steps of the measurement of an engine.
const (
	engineAccept = "accept" // concurrent callers store items, each of which waits for its commit
	engineFill   = "fill"   // one caller stores many items and exits without closing the store
	engineOpen   = "open"   // open the store that the fill step has left, and read all records
	engineChurn  = "churn"  // one caller stores many items and deletes the oldest items at the same rate
)

const (
	recordSize     = 300     // bytes in the record of one item, which stands for a job's body, names and times
	keySize        = 8       // bytes in the key of an item
	batchItems     = 2000    // items stored by one commit of the steps fill and churn
	churnLiveItems = 100_000 // items that stay in the store during the step churn
	megabyte       = 1 << 20 // bytes in a megabyte
)

// randomRecord returns the record of an item: random bytes, which compression cannot shrink.
func randomRecord(random *rand.Rand) []byte {
	b := make([]byte, recordSize)
	for i := 0; i < len(b); i += 4 {
		binary.LittleEndian.PutUint32(b[i:], random.Uint32())
	}
	return b
}

func encodeKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Run runs one step of the measurement of an engine and prints the results as a line of JSON.
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
	case engineFill: // the process exits without closing the store, as a killed process does
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

// fill stores c.Count new items in batches.
func (c *engineCmd) fill(e engine, random *rand.Rand) error {
	for n := 0; n < c.Count; n += batchItems {
		var keys, values [][]byte
		for i := range batchItems {
			keys, values = append(keys, encodeKey(uint64(n+i))), append(values, randomRecord(random))
		}
		if err := e.commit(keys, values); err != nil {
			return err
		}
	}
	return nil
}

// churn stores c.Count new items in batches. Each batch also deletes the oldest items, so that the store
// never holds more than churnLiveItems items after a commit.
func (c *engineCmd) churn(e engine, random *rand.Rand, figures map[string]any) error {
	n := 0
	for ; n < c.Count; n += batchItems {
		var keys, values [][]byte
		for i := range batchItems {
			keys, values = append(keys, encodeKey(uint64(n+i))), append(values, randomRecord(random))
			if old := n + i - churnLiveItems; old >= 0 {
				keys, values = append(keys, encodeKey(uint64(old))), append(values, nil)
			}
		}
		if err := e.commit(keys, values); err != nil {
			return err
		}
	}
	live := min(n, churnLiveItems) * (recordSize + keySize)
	figures["items"], figures["live_mb"] = n, float64(live)/megabyte
	return nil
}

// folderSize returns the total size of the files in a folder in bytes. A file that is deleted during the walk
// is not counted.
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

// ownPeakMemoryMB returns the peak resident memory of this process in megabytes, or 0 if it cannot be read.
func ownPeakMemoryMB() float64 {
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	return testcluster.PeakMemoryMB(string(raw))
}
