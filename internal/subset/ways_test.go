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

// Ways to share a fleet among schedulers that do not talk: which workers each has, by the workers'
// numbers and its own. docs/design-list.md has the table.

// ways give the workers of a scheduler. workers are in order of number; each also has the index that
// it had when all were there, which no scheduler knows here, but some published ways lean on.
var ways = []struct {
	name string
	of   func(s, schedulers int, reach float64, workers []member) []int
}{
	{"ranks", ranks},
	{"aperture", aperture},
	{"ring, 1 place", func(s, n int, reach float64, w []member) []int { return ring(s, n, reach, w, 1) }},
	{"ring, 64 places", func(s, n int, reach float64, w []member) []int { return ring(s, n, reach, w, 64) }},
	{"rendezvous, a worker's", rendezvousOfWorker},
	{"rendezvous, a scheduler's", rendezvousOfScheduler},
	{"lots (deterministic)", lots},
	{"Rocksteadier", rocksteadier},
}

type member struct {
	number uint32
	index  int
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

func golden(s int) float64 {
	_, place := math.Modf(float64(s) * math.Phi)
	return place
}

// ranks is the present way: this package.
func ranks(s, _ int, reach float64, workers []member) (part []int) {
	var r Ring[int]
	for i, w := range workers {
		r.Add(0, 0, w.number, i)
	}
	r.Cover(golden(s), reach, func(i int, _ bool) { part = append(part, i) })
	return part
}

// aperture is the deterministic aperture: schedulers at equal steps of a ring, workers by rank at
// equal steps. What it overlaps in part counts as its own here, without the weight.
func aperture(s, schedulers int, reach float64, workers []member) (part []int) {
	n := float64(len(workers))
	from := float64(s) / float64(schedulers) * n
	for i := int(from); float64(i) < from+reach*n; i++ {
		part = append(part, i%len(workers))
	}
	return part
}

// ring is consistent hashing: a worker's places come from its number alone, and a scheduler has those
// with a place in its interval.
func ring(s, _ int, reach float64, workers []member, places int) (part []int) {
	for i, w := range workers {
		for k := range places {
			if Distance(golden(s), unit(mix(uint64(w.number)<<16|uint64(k)))) < reach/float64(places) {
				part = append(part, i)
				break
			}
		}
	}
	return part
}

func score(s int, w member) uint64 { return mix(uint64(w.number)<<16 ^ mix(uint64(s))) }

// rendezvousOfWorker gives each worker to the schedulers that score highest for it.
func rendezvousOfWorker(s, schedulers int, reach float64, workers []member) (part []int) {
	most := int(math.Round(reach * float64(schedulers)))
	for i, w := range workers {
		own, above := score(s, w), 0
		for o := 0; o < schedulers && above < most; o++ {
			if score(o, w) > own {
				above++
			}
		}
		if above < most {
			part = append(part, i)
		}
	}
	return part
}

// rendezvousOfScheduler gives each scheduler the workers that score highest for it.
func rendezvousOfScheduler(s, _ int, reach float64, workers []member) []int {
	all := make([]int, len(workers))
	for i := range all {
		all[i] = i
	}
	slices.SortFunc(all, func(a, b int) int { return cmp.Compare(score(s, workers[b]), score(s, workers[a])) })
	return all[:int(math.Round(reach*float64(len(workers))))]
}

// lots is deterministic subsetting as in the book on site reliability: the workers are shuffled
// alike for a lot of schedulers, and dealt out among them.
func lots(s, _ int, reach float64, workers []member) (part []int) {
	size := max(1, int(math.Round(reach*float64(len(workers)))))
	count := max(1, len(workers)/size)
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
		j := int(mix(uint64(s/count)<<32+uint64(i)) % uint64(i+1))
		order[i], order[j] = order[j], order[i]
	}
	return order[s%count*size : min(len(order), (s%count+1)*size)]
}

// rocksteadier deals the workers into as many lots as a scheduler is to have, puts each lot on a ring
// of its own by a sequence of low discrepancy over its index, and takes the next one of each.
func rocksteadier(s, _ int, reach float64, workers []member) (part []int) {
	size := max(1, int(math.Round(reach*float64(len(workers)))))
	best, found := make([]float64, size), make([]int, size)
	for i := range best {
		best[i] = 2
	}
	corput := func(i int) float64 { return float64(bits.Reverse32(uint32(i))) / (1 << 32) }
	for i, w := range workers {
		lot := w.index % size
		at := corput(s) + unit(mix(uint64(lot))) // each lot turned by an amount of its own
		if gap := Distance(at-math.Floor(at), corput(w.index/size)); gap < best[lot] {
			best[lot], found[lot] = gap, i
		}
	}
	for lot, gap := range best {
		if gap < 2 {
			part = append(part, found[lot])
		}
	}
	return part
}

var everySize = flag.Bool("every-size", false, "weigh the ways at thousands of workers, too: a minute")

// Of the ways that were weighed, ranks leave no worker without schedulers and load them evenly. The
// price is that parts shift for all behind a change, by a worker or two for each scheduler.
func TestWaysToShareAFleet(t *testing.T) {
	t.Logf("%-28s %9s %14s %14s %10s %14s %14s", "way", "size", "of a worker", "of a scheduler", "load",
		"pairs, its own", "pairs, others")
	for _, size := range [][2]int{{300, 200}, {300, 7200}, {17, 7200}, {80, 60}} {
		schedulers, n := size[0], size[1]
		if n > 1000 && !*everySize {
			continue
		}
		reach := min(1, max(8/float64(schedulers), 5/float64(n)))
		all := make([]member, n)
		for i := range all {
			h := fnv.New32a()
			fmt.Fprintf(h, "worker-%05d", i)
			all[i] = member{h.Sum32(), i}
		}
		slices.SortFunc(all, func(a, b member) int { return cmp.Compare(a.number, b.number) })
		for _, way := range ways {
			share := func(workers []member) []map[uint32]bool {
				parts := make([]map[uint32]bool, schedulers)
				for s := range parts {
					parts[s] = map[uint32]bool{}
					for _, i := range way.of(s, schedulers, reach, workers) {
						parts[s][workers[i].number] = true
					}
				}
				return parts
			}
			before := share(all)
			has, load := map[uint32]int{}, map[uint32]float64{}
			least, most, pairs := n, 0, 0
			for _, part := range before {
				least, most, pairs = min(least, len(part)), max(most, len(part)), pairs+len(part)
				for number := range part {
					has[number]++
					load[number] += 1 / float64(len(part))
				}
			}
			fewest, many, heaviest := schedulers, 0, 0.0
			for _, w := range all {
				fewest, many = min(fewest, has[w.number]), max(many, has[w.number])
				heaviest = max(heaviest, load[w.number])
			}
			heaviest /= float64(schedulers) / float64(n)
			own, others, goes := 0, 0, 4
			for k := range goes {
				gone := (2*k + 1) * n / (2 * goes)
				number := all[gone].number
				after := share(slices.Concat(all[:gone], all[gone+1:]))
				own += has[number]
				for s := range before {
					for other := range before[s] {
						if other != number && !after[s][other] {
							others++
						}
					}
					for other := range after[s] {
						if !before[s][other] {
							others++
						}
					}
				}
			}
			t.Logf("%-28s %4d/%4d %5d to %5d %5d to %5d %10.2f %14.1f %14.1f", way.name, schedulers, n, fewest, many,
				least, most, heaviest, float64(own)/float64(goes), float64(others)/float64(goes))
			if way.name == "ranks" {
				mean := float64(pairs) / float64(n)
				if float64(fewest) < mean/2 || heaviest > 1.6 {
					t.Errorf("%d/%d: a worker has %d schedulers, mean %.1f; load up to %.2f of the mean", schedulers, n,
						fewest, mean, heaviest)
				}
				if most := float64(2 * schedulers); float64(others)/float64(goes) > most {
					t.Errorf("%d/%d: %d pairs change hands for %d that go", schedulers, n, others, goes)
				}
			}
		}
	}
}
