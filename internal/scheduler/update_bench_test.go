package scheduler

import (
	"fmt"
	"testing"

	"dahliaford/internal/dispatch"
)

// BenchmarkUpdate measures a worker list update with one changed entry, through the reducer and the
// dispatcher. The updates make one worker after another drain and become ready again.
func BenchmarkUpdate(b *testing.B) {
	for _, size := range [][2]int{{300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {30, 7200}, {17, 7200},
		{7200, 7200}} {
		b.Run(fmt.Sprintf("%d schedulers, %d workers", size[0], size[1]), func(b *testing.B) {
			s := newFleet(b, size[0], size[1])
			feed := newUpdateFeed(size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				feed.step(s)
			}
		})
	}
}

// updateFeed sends worker list updates with one entry each to a scheduler made by newFleet. Consecutive
// pairs of updates drain a worker and make it ready again; the workers are spread over the fleet.
type updateFeed struct {
	workerCount, stepCount int
	out                    []Effect
	revision               int64
	list                   WorkerList
}

func newUpdateFeed(workerCount int) *updateFeed {
	f := &updateFeed{workerCount: workerCount, revision: 1}
	f.list.Workers = make([]Worker, 1)
	return f
}

func (f *updateFeed) step(s *Scheduler) {
	i := f.stepCount / 2 * 7919 % f.workerCount
	status := dispatch.Draining
	if f.stepCount%2 == 1 {
		status = dispatch.Ready
	}
	f.stepCount++
	f.revision++
	f.list.Revision = f.revision
	w := testWorker(fmt.Sprintf("r%d", i), status)
	w.Kind = fmt.Sprintf("m%d", i%2)
	f.list.Workers[0] = w
	f.out = s.Step(s.now+second, EndpointsUpdated{List: f.list}, f.out[:0])
}
