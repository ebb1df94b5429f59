package scheduler

import (
	"fmt"
	"testing"

	"dahliaford/internal/dispatch"
)

// BenchmarkWord is one changed entry a word, told to the reducer and the module: workers leave and
// come back in turn, spread over the fleet.
func BenchmarkWord(b *testing.B) {
	for _, size := range [][2]int{{300, 200}, {300, 800}, {300, 2400}, {300, 7200}, {30, 7200}, {17, 7200},
		{7200, 7200}} {
		b.Run(fmt.Sprintf("%d schedulers, %d workers", size[0], size[1]), func(b *testing.B) {
			s := fleetOf(b, size[0], size[1])
			words := newWords(size[1])
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				words.say(s)
			}
		})
	}
}

// words tells of one worker after another, spread over a fleet of fleetOf.
type words struct {
	workers, at int
	out         []Effect
	rev         int64
	list        WorkerList
}

func newWords(workers int) *words {
	w := &words{workers: workers, rev: 1}
	w.list.Workers = make([]Worker, 1)
	return w
}

func (w *words) say(s *Scheduler) {
	i := w.at / 2 * 7919 % w.workers
	status := dispatch.Draining
	if w.at%2 == 1 {
		status = dispatch.Ready
	}
	w.at++
	w.rev++
	w.list.Rev = w.rev
	r := line(fmt.Sprintf("r%d", i), status)
	r.Kind = fmt.Sprintf("m%d", i%2)
	w.list.Workers[0] = r
	w.out = s.Step(s.now+second, EndpointsUpdated{List: w.list}, w.out[:0])
}
