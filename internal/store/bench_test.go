package store

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"dahliaford/internal/store/lifecycle"
)

// bareEngineRate returns the number of records per second that bbolt writes without package store, in batches
// of the given size and with records about as large as those of BenchmarkAccept.
func bareEngineRate(b *testing.B, batch int) float64 {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "bare"), 0o600, &bbolt.Options{
		FreelistType: bbolt.FreelistMapType})
	if err != nil {
		b.Fatal(err)
	}
	defer closeReadOnly(db) // an error of Close does not matter: the records are not used again
	value := make([]byte, 400)
	n := 0
	began := time.Now()
	for time.Since(began) < time.Second {
		if err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists(itemsBucket)
			for range batch {
				if n++; err == nil {
					err = bucket.Put(fmt.Appendf(nil, "item-%09d", rand.IntN(1<<30)), value)
				}
			}
			return err
		}); err != nil {
			b.Fatal(err)
		}
	}
	return float64(n) / time.Since(began).Seconds()
}

// BenchmarkAccept measures how many items per second several concurrent callers store with Accept. Each
// caller waits until its item is on disk before the caller stores the next item. The metric of-engine is the
// rate of accepted items divided by the rate of records that bbolt writes without package store.
func BenchmarkAccept(b *testing.B) {
	for _, callers := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			d, err := openBolt(filepath.Join(b.TempDir(), "jobs"), readWrite)
			if err != nil {
				b.Fatal(err)
			}
			c := &countingDisk{disk: d}
			s, err := start(Config{MaxItems: defaultMaxItems, MaxBytes: 8 << 30}, c)
			if err != nil {
				b.Fatal(err)
			}
			defer closeStore(b, s)
			var mu sync.Mutex
			var latencies []time.Duration
			var all sync.WaitGroup
			b.ResetTimer()
			began := time.Now()
			for k := range callers {
				all.Go(func() {
					var callerLatencies []time.Duration
					for n := 0; n < max(b.N/callers, 1); n++ {
						it := &lifecycle.Item{ID: fmt.Sprintf("item-%09d", rand.IntN(1<<30)), Class: "post-reading",
							Body: make([]byte, 200), Deadline: lifecycle.Micros(k)}
						at := time.Now()
						if err := acceptAndWait(s, it); err != nil {
							b.Error(err)
							return
						}
						callerLatencies = append(callerLatencies, time.Since(at))
					}
					mu.Lock()
					latencies = append(latencies, callerLatencies...)
					mu.Unlock()
				})
			}
			all.Wait()
			rate := float64(len(latencies)) / time.Since(began).Seconds()
			slices.Sort(latencies)
			b.StopTimer()
			batch := float64(len(latencies)) / float64(c.commits)
			b.ReportMetric(rate, "accepts/s")
			b.ReportMetric(batch, "a-commit")
			b.ReportMetric(rate/bareEngineRate(b, int(math.Round(batch))), "of-engine")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkRecover measures opening a store and reading all its items, none of which is finished.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			path := filepath.Join(b.TempDir(), "jobs")
			s := openStore(b, Config{Path: path, MaxItems: 2_000_000, MaxBytes: 8 << 30})
			inFlight := make(chan bool, 1024)
			for i := range n {
				inFlight <- true
				it := testItem(i)
				it.Body = make([]byte, 200)
				if err := s.Accept(Change{Item: it, Done: func(error) { <-inFlight }}); err != nil {
					b.Fatal(err)
				}
			}
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
			var heap uint64
			for b.Loop() {
				s := openStore(b, Config{Path: path, MaxItems: 2_000_000, MaxBytes: 8 << 30})
				r, err := s.Recover(1)
				if err != nil || len(r.Items) != n {
					b.Fatal(err)
				}
				b.StopTimer()
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				heap = m.HeapAlloc
				runtime.KeepAlive(r)
				closeStore(b, s)
				b.StartTimer()
			}
			b.ReportMetric(float64(heap)/(1<<20), "heap-MB")
		})
	}
}
