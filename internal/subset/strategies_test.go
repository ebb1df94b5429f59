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

// This file compares strategies by which each scheduler computes its subset of the workers from the workers'
// numbers and its own number, without communication between schedulers. docs/design-list.md has the table of
// results.

// strategies are the compared subsetting strategies. workersOf returns the workers that scheduler s uses, as
// positions in the parameter workers, which is sorted by number. Some published strategies depend on a stable
// index of each worker, so each worker also has the index that it had in the complete list. A real scheduler
// of this project does not know that index.
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

// member is a worker in the comparison of strategies.
type member struct {
	number uint32
	index  int // index of the worker in the complete list, before any removal
}

// mixBits returns a hash of x: the finalizer of the SplitMix64 generator.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// toUnitInterval maps a hash to a number from 0 up to 1.
func toUnitInterval(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// goldenPosition returns the position on the ring at which the interval of scheduler s begins: the fractional
// part of s times the golden ratio. Consecutive schedulers are spread evenly over the ring, however many
// there are.
func goldenPosition(s int) float64 {
	_, position := math.Modf(float64(s) * math.Phi)
	return position
}

// rankedRing is the strategy that the dispatcher uses: the Ring of this package.
func rankedRing(s, _ int, fraction float64, workers []member) (subset []int) {
	var r Ring[int]
	for i, w := range workers {
		r.Add(0, 0, w.number, i)
	}
	r.Cover(goldenPosition(s), fraction, func(i int, _ bool) { subset = append(subset, i) })
	return subset
}

// aperture is the deterministic aperture: the schedulers have equal intervals of a ring, and the workers lie
// at equal distances in order of rank. The published strategy gives a worker that an interval covers in part
// a smaller weight; here that worker counts as fully used.
func aperture(s, schedulers int, fraction float64, workers []member) (subset []int) {
	n := float64(len(workers))
	from := float64(s) / float64(schedulers) * n
	for i := int(from); float64(i) < from+fraction*n; i++ {
		subset = append(subset, i%len(workers))
	}
	return subset
}

// consistentHashing returns the strategy that places each worker at the given number of positions on a ring,
// computed from the worker's number alone. A scheduler uses the workers that have a position in its interval.
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

// score returns the rendezvous hash of a scheduler and a worker.
func score(s int, w member) uint64 { return mixBits(uint64(w.number)<<16 ^ mixBits(uint64(s))) }

// rendezvousOfWorker assigns each worker to the schedulers with the highest scores for that worker.
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

// rendezvousOfScheduler assigns to each scheduler the workers with the highest scores for that scheduler.
func rendezvousOfScheduler(s, _ int, fraction float64, workers []member) []int {
	all := make([]int, len(workers))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(score(s, workers[b]), score(s, workers[a])) })
	return all[:int(math.Round(fraction*float64(len(workers))))]
}

// deterministicSubsetting is the algorithm of the book "Site Reliability Engineering": schedulers form
// rounds, each round shuffles the workers by a seed of its own, and the schedulers of a round divide the
// shuffled workers among them without overlap.
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

// rocksteadier is the published strategy of that name. The number of buckets is the number of workers that a
// scheduler uses, and workers are distributed over the buckets by their index. Each bucket has a ring of its
// own, on which a low-discrepancy sequence (van der Corput) places the bucket's workers. A scheduler uses the
// next worker after its own position in each bucket.
func rocksteadier(s, _ int, fraction float64, workers []member) (subset []int) {
	size := max(1, int(math.Round(fraction*float64(len(workers)))))
	best, found := make([]float64, size), make([]int, size)
	for i := range best {
		best[i] = 2
	}
	vanDerCorput := func(i int) float64 { return float64(bits.Reverse32(uint32(i))) / (1 << 32) }
	for i, w := range workers {
		bucket := w.index % size
		// The ring of each bucket is rotated by a different angle.
		at := vanDerCorput(s) + toUnitInterval(mixBits(uint64(bucket)))
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

var everySize = flag.Bool("every-size", false,
	"also compare the strategies at thousands of workers, which takes a minute")

// Compares the subsetting strategies. The ring by ranks, the strategy in use, leaves no worker without
// schedulers and spreads the load evenly over the workers. In exchange, one removal of a worker shifts the
// positions of the other workers: up to two pairs of scheduler and worker change for each scheduler. The test
// checks the balance of the load and the number of changed pairs for the ring by ranks, and logs both for all
// strategies.
func TestSubsettingStrategies(t *testing.T) {
	t.Logf("%-28s %9s %14s %14s %10s %14s %14s", "strategy", "size", "per worker", "per scheduler", "load",
		"removed pairs", "moved pairs")
	for _, size := range [][2]int{{300, 200}, {300, 7200}, {17, 7200}, {80, 60}} {
		schedulers, n := size[0], size[1]
		if n > 1000 && !*everySize {
			continue
		}
		fraction := min(1, max(8/float64(schedulers), 5/float64(n)))
		all := make([]member, n)
		for i := range all {
			h := fnv.New32a()
			_, _ = fmt.Fprintf(h, "worker-%05d", i) // hash.Hash documents that Write never returns an error
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
					t.Errorf(
						"%d schedulers, %d workers: worker in %d subsets, want half of mean %.1f; load %.2f of mean, want 1.6",
						schedulers, n,
						lowest, mean, heaviest)
				}
				if limit := float64(2 * schedulers); float64(otherPairs)/float64(removals) > limit {
					t.Errorf(
						"%d schedulers, %d workers: %d other pairs change in %d removals, want up to 2 a scheduler and removal",
						schedulers, n, otherPairs, removals)
				}
			}
		}
	}
}
