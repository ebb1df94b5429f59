package subset

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct {
	zone, kind int
	number     uint32
	crowd      *Group[*item]
	in         bool
}

// Any sequence of changes and intervals covers those whose places, reckoned from nothing, lie in the
// interval, and tells each that comes or goes once.
func TestCoverIsAsReckonedFromNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ring[*item]
		items := map[uint32]*item{}
		place, reach := rapid.Float64Range(0, 0.999).Draw(t, "place"), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for range rapid.IntRange(0, 8).Draw(t, "changes") {
				number := uint32(rapid.IntRange(0, 40).Draw(t, "number"))
				if it := items[number]; it != nil {
					r.Remove(it.crowd, number)
					delete(items, number)
					continue
				}
				it := &item{zone: int(number % 3), kind: int(number / 3 % 2), number: number}
				items[number] = it
				it.crowd, it.in = r.Add(it.zone, it.kind, number, it)
			}
			switch rapid.IntRange(0, 3).Draw(t, "interval") {
			case 0:
				reach = rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.5, 0.9, 1}).Draw(t, "reach")
			case 1:
				place = rapid.SampledFrom([]float64{0, 0.05, 0.25, 0.5, 0.75, 0.999}).Draw(t, "moved")
			}
			r.Cover(place, reach, func(it *item, in bool) {
				if it.in == in {
					t.Fatalf("%d is told twice that it is in: %v", it.number, in)
				}
				it.in = in
			})
			copies := map[*item]*item{}
			copied := r.Clone(func(it *item) *item { c := *it; copies[it] = &c; return &c },
				func(it *item, c *Group[*item]) { it.crowd = c })
			copied.Cover(place, reach, func(it *item, in bool) { t.Fatalf("%d moves in a copy", it.number) })
			check(t, &r, items, place, reach)
			of := map[uint32]*item{}
			for _, it := range items {
				of[it.number] = copies[it]
			}
			check(t, &copied, of, place, reach)
		}
	})
}

func check(t *rapid.T, r *Ring[*item], items map[uint32]*item, place, reach float64) {
	crowds, zones := map[[2]int][]uint32{}, map[int]bool{}
	for _, number := range slices.Sorted(maps.Keys(items)) {
		it := items[number]
		key := [2]int{it.zone, it.kind}
		crowds[key], zones[it.zone] = append(crowds[key], number), true
	}
	if r.Len() != len(items) || r.Zones() != len(zones) {
		t.Fatalf("%d members of %d zones, want %d of %d", r.Len(), r.Zones(), len(items), len(zones))
	}
	for _, numbers := range crowds {
		for rank, number := range numbers {
			it, at := items[number], (float64(rank)+0.5)/float64(len(numbers))
			if got := it.crowd.Position(number); got != at {
				t.Fatalf("%d at %v, want %v", number, got, at)
			}
			gap := at - place
			if gap < 0 {
				gap++
			}
			if it.in != (gap < reach) {
				t.Fatalf("%d, %v behind %v, is covered: %v, by a reach of %v", number, gap, place, it.in, reach)
			}
		}
	}
}

// A member that goes moves the interval of its crowd by one at each end at the most, and no other
// crowd's, however large the crowds are.
func TestOneThatGoesMovesOneAtEachEnd(t *testing.T) {
	for _, n := range []int{3, 50, 400, 7200} {
		for _, reach := range []float64{8.0 / 7200, 8.0 / 300, 8.0 / 17, 0.9} {
			var r Ring[int]
			crowds := [2]*Group[int]{}
			for i := range 2 * n {
				crowds[i%2], _ = r.Add(0, i%2, uint32(i), i)
			}
			moved, gone, place := 0, 0, 0.618
			count := func(i int, _ bool) {
				if i%2 != 0 {
					t.Errorf("%d of the other crowd moves", i)
				}
				if i != gone {
					moved++
				}
			}
			r.Cover(place, reach, func(int, bool) {})
			for ; gone < 2*n; gone += 2 * (1 + n/40) {
				for _, add := range []bool{false, true} {
					if moved = 0; add {
						r.Add(0, 0, uint32(gone), gone)
					} else {
						r.Remove(crowds[0], uint32(gone))
					}
					if r.Cover(place, reach, count); moved > 2 {
						t.Fatalf("%d of %d move for one, with a reach of %v", moved, n, reach)
					}
				}
			}
		}
	}
}
