package subset

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"
	"testing"
)

// Strategies of subsetting among schedulers that do not communicate: which workers each uses, by the
// workers' numbers and its own. docs/design-list.md has the table.

// strategies return the indexes of the workers that a scheduler uses. workers are in order of number; each
// also has the index that it had when all were present, which no scheduler knows here, but some published
// strategies depend on.
var strategies = []struct {
	name      string
	workersOf func(s, schedulers int, fraction float64, workers []member) []int
}{
	{"ranks", rankedRing},
	{"aperture", aperture},
	{"ring, 1 place", consistentHashing(1)},
	{"ring, 64 places", consistentHashing(64)},
	{"rendezvous, a worker's", rendezvousOfWorker},
	{"rendezvous, a scheduler's", rendezvousOfScheduler},
	{"lots (deterministic)", deterministicSubsetting},
	{"Rocksteadier", rocksteadier},
}

type member struct {
	number uint32
	index  int
}

func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func toUnitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

func goldenPosition(s int) float64 {
	_, position := math.Modf(float64(s) * math.Phi)
	return position
}

// rankedRing is the strategy in use: this package.
func rankedRing(s, _ int, fraction float64, workers []member) (subset []int) {
	var r Ring[int]
	for i, w := range workers {
		r.Add(0, 0, w.number, i)
	}
	r.Cover(goldenPosition(s), fraction, func(i int, _ bool) { subset = append(subset, i) })
	return subset
}

// aperture is the deterministic aperture: schedulers at equal steps of a ring, workers by rank at
// equal steps. A worker that it overlaps partly counts as its own here, without the weight.
func aperture(s, schedulers int, fraction float64, workers []member) (subset []int) {
	n := float64(len(workers))
	from := float64(s) / float64(schedulers) * n
	for i := int(from); float64(i) < from+fraction*n; i++ {
		subset = append(subset, i%len(workers))
	}
	return subset
}

// consistentHashing gives each worker positions on a ring that come from its number alone, and a scheduler
// the workers with a position in its interval.
func consistentHashing(positions int) func(s, _ int, fraction float64, workers []member) []int {
	return func(s, _ int, fraction float64, workers []member) (subset []int) {
		for i, w := range workers {
			for k := range positions {
				position := toUnitInterval(mixBits(uint64(w.number)<<16 | uint64(k)))
				if Distance(goldenPosition(s), position) < fraction/float64(positions) {
					subset = append(subset, i)
					break
				}
			}
		}
		return subset
	}
}

func score(s int, w member) uint64 { return mixBits(uint64(w.number)<<16 ^ mixBits(uint64(s))) }

// rendezvousOfWorker gives each worker to the schedulers that score highest for it.
func rendezvousOfWorker(s, schedulers int, fraction float64, workers []member) (subset []int) {
	limit := int(math.Round(fraction * float64(schedulers)))
	for i, w := range workers {
		own, above := score(s, w), 0
		for o := 0; o < schedulers && above < limit; o++ {
			if score(o, w) > own {
				above++
			}
		}
		if above < limit {
			subset = append(subset, i)
		}
	}
	return subset
}

// rendezvousOfScheduler gives each scheduler the workers that score highest for it.
func rendezvousOfScheduler(s, _ int, fraction float64, workers []member) []int {
	all := make([]int, len(workers))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(score(s, workers[b]), score(s, workers[a])) })
	return all[:int(math.Round(fraction*float64(len(workers))))]
}

// deterministicSubsetting is the one of the book on site reliability engineering: the workers are shuffled
// alike for each round of schedulers, and dealt out among these.
func deterministicSubsetting(s, _ int, fraction float64, workers []member) (subset []int) {
	size := max(1, int(math.Round(fraction*float64(len(workers)))))
	count := max(1, len(workers)/size)
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
		j := int(mixBits(uint64(s/count)<<32+uint64(i)) % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order[s%count*size : min(len(order), (s%count+1)*size)]
}

// rocksteadier deals the workers into as many buckets as a scheduler is to use workers, puts each bucket on
// a ring of its own by a low-discrepancy sequence over the index, and takes the next worker of each.
func rocksteadier(s, _ int, fraction float64, workers []member) (subset []int) {
	size := max(1, int(math.Round(fraction*float64(len(workers)))))
	best, found := make([]float64, size), make([]int, size)
	for i := range best {
		best[i] = 2
	}
	vanDerCorput := func(i int) float64 { return float64(bits.Reverse32(uint32(i))) / (1 << 32) }
	for i, w := range workers {
		bucket := w.index % size
		at := vanDerCorput(s) + toUnitInterval(mixBits(uint64(bucket))) // each bucket rotated by an amount of its own
		if distance := Distance(at-math.Floor(at), vanDerCorput(w.index/size)); distance < best[bucket] {
			best[bucket], found[bucket] = distance, i
		}
	}
	for bucket, distance := range best {
		if distance < 2 {
			subset = append(subset, found[bucket])
		}
	}
	return subset
}

var everySize = flag.Bool("every-size", false, "compare them at thousands of workers, too: a minute")

// Of the strategies that were compared, ranks leave no worker without schedulers and load them evenly. The
// cost is that subsets shift for all behind a change, by a worker or two for each scheduler.
func TestSubsettingStrategies(t *testing.T) {
	t.Logf("%-28s %9s %14s %14s %10s %14s %14s", "strategy", "size", "of a worker", "of a scheduler", "load",
		"pairs, its own", "pairs, others")
	for _, size := range [][2]int{{300, 200}, {300, 7200}, {17, 7200}, {80, 60}} {
		schedulers, n := size[0], size[1]
		if n > 1000 && !*everySize {
			continue
		}
		fraction := min(1, max(8/float64(schedulers), 5/float64(n)))
		all := make([]member, n)
		for i := range all {
			h := fnv.New32a()
			_, _ = fmt.Fprintf(h, "worker-%05d", i) // a hash never fails
			all[i] = member{h.Sum32(), i}
		}
		slices.SortFunc(all, func(a, b member) int { return cmp.Compare(a.number, b.number) })
		for _, strategy := range strategies {
			assign := func(workers []member) []map[uint32]bool {
				subsets := make([]map[uint32]bool, schedulers)
				for s := range subsets {
					subsets[s] = map[uint32]bool{}
					for _, i := range strategy.workersOf(s, schedulers, fraction, workers) {
						subsets[s][workers[i].number] = true
					}
				}
				return subsets
			}
			before := assign(all)
			schedulersOf, load := map[uint32]int{}, map[uint32]float64{}
			smallest, largest, pairs := n, 0, 0
			for _, subset := range before {
				smallest, largest, pairs = min(smallest, len(subset)), max(largest, len(subset)), pairs+len(subset)
				for number := range subset {
					schedulersOf[number]++
					load[number] += 1 / float64(len(subset))
				}
			}
			lowest, highest, heaviest := schedulers, 0, 0.0
			for _, w := range all {
				lowest, highest = min(lowest, schedulersOf[w.number]), max(highest, schedulersOf[w.number])
				heaviest = max(heaviest, load[w.number])
			}
			heaviest /= float64(schedulers) / float64(n)
			ownPairs, otherPairs, removals := 0, 0, 4
			for k := range removals {
				removed := (2*k + 1) * n / (2 * removals)
				number := all[removed].number
				after := assign(slices.Concat(all[:removed], all[removed+1:]))
				ownPairs += schedulersOf[number]
				for s := range before {
					for other := range before[s] {
						if other != number && !after[s][other] {
							otherPairs++
						}
					}
					for other := range after[s] {
						if !before[s][other] {
							otherPairs++
						}
					}
				}
			}
			t.Logf("%-28s %4d/%4d %5d to %5d %5d to %5d %10.2f %14.1f %14.1f", strategy.name, schedulers, n,
				lowest, highest, smallest, largest, heaviest, float64(ownPairs)/float64(removals),
				float64(otherPairs)/float64(removals))
			if strategy.name == "ranks" {
				mean := float64(pairs) / float64(n)
				if float64(lowest) < mean/2 || heaviest > 1.6 {
					t.Errorf("%d/%d: a worker has %d schedulers, mean %.1f; load up to %.2f of the mean", schedulers, n,
						lowest, mean, heaviest)
				}
				if limit := float64(2 * schedulers); float64(otherPairs)/float64(removals) > limit {
					t.Errorf("%d/%d: %d pairs change for %d removals", schedulers, n, otherPairs, removals)
				}
			}
		}
	}
}
