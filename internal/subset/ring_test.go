package subset

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type testMember struct {
	zone, kind int
	number     uint32
	group      *Group[*testMember]
	covered    bool
}

// After a random sequence of additions and removals of ring members and of interval changes, the covered
// members are those whose positions, recomputed from all members, lie in the interval. The ring reports each
// member that enters or leaves the interval exactly once. A cloned ring has the same members at the same
// positions, and its interval covers the same members.
func TestCoverMatchesRecomputation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Ring[*testMember]
		items := map[uint32]*testMember{}
		start, length := rapid.Float64Range(0, 0.999).Draw(t, "start"), 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for range rapid.IntRange(0, 8).Draw(t, "changes") {
				number := uint32(rapid.IntRange(0, 40).Draw(t, "number"))
				if it := items[number]; it != nil {
					r.Remove(it.group, number)
					delete(items, number)
					continue
				}
				it := &testMember{zone: int(number % 3), kind: int(number / 3 % 2), number: number}
				items[number] = it
				it.group, it.covered = r.Add(it.zone, it.kind, number, it)
			}
			switch rapid.IntRange(0, 3).Draw(t, "interval") {
			case 0:
				length = rapid.SampledFrom([]float64{0, 0.01, 0.1, 0.5, 0.9, 1}).Draw(t, "length")
			case 1:
				start = rapid.SampledFrom([]float64{0, 0.05, 0.25, 0.5, 0.75, 0.999}).Draw(t, "new start")
			}
			r.Cover(start, length, func(it *testMember, in bool) {
				if it.covered == in {
					t.Fatalf("ring member %d: got reported twice in a row, in the interval = %v, want one report",
						it.number, in)
				}
				it.covered = in
			})
			copies := map[*testMember]*testMember{}
			copied := r.Clone(func(it *testMember) *testMember { copied := *it; copies[it] = &copied; return &copied },
				func(it *testMember, group *Group[*testMember]) { it.group = group })
			copied.Cover(start, length, func(it *testMember, _ bool) {
				t.Fatalf("member %d of a cloned ring: got a report that it entered or left an equal interval, want none",
					it.number)
			})
			checkAgainstRecomputation(t, &r, items, start, length)
			byNumber := map[uint32]*testMember{}
			for _, it := range items {
				byNumber[it.number] = copies[it]
			}
			checkAgainstRecomputation(t, &copied, byNumber, start, length)
		}
	})
}

// checkAgainstRecomputation recomputes, from the list of members, each member's position on the ring and
// whether the interval covers the member, and compares the ring with the result.
func checkAgainstRecomputation(t *rapid.T, r *Ring[*testMember], items map[uint32]*testMember,
	start, length float64) {
	t.Helper()
	groups, zones := map[[2]int][]uint32{}, map[int]bool{}
	for _, number := range slices.Sorted(maps.Keys(items)) {
		it := items[number]
		key := [2]int{it.zone, it.kind}
		groups[key], zones[it.zone] = append(groups[key], number), true
	}
	if r.Len() != len(items) || r.Zones() != len(zones) {
		t.Fatalf("ring has %d members in %d zones, want %d members in %d zones",
			r.Len(), r.Zones(), len(items), len(zones))
	}
	for _, numbers := range groups {
		for rank, number := range numbers {
			it, position := items[number], (float64(rank)+0.5)/float64(len(numbers))
			if got := it.group.Position(number); got != position {
				t.Fatalf("ring member %d: got position %v, want %v", number, got, position)
			}
			distance := position - start
			if distance < 0 {
				distance++
			}
			if it.covered != (distance < length) {
				t.Fatalf(
					"ring member %d, distance %v from start %v: got covered %v, want true only if distance < length %v",
					number, distance, start,
					it.covered, length)
			}
		}
	}
}

// When a member is added to or removed from a group (one zone and kind) of a ring, at most two other members
// of the group enter or leave the interval, one at each end, and no member of another group does, in groups
// of any size.
func TestRemovalChangesOneMemberAtEachEnd(t *testing.T) {
	for _, n := range []int{3, 50, 400, 7200} {
		for _, length := range []float64{8.0 / 7200, 8.0 / 300, 8.0 / 17, 0.9} {
			var r Ring[int]
			groups := [2]*Group[int]{}
			for i := range 2 * n {
				groups[i%2], _ = r.Add(0, i%2, uint32(i), i)
			}
			changedOthers, removed, start := 0, 0, 0.618
			count := func(i int, _ bool) {
				if i%2 != 0 {
					t.Errorf("member %d: got a report that it entered or left by a change in another kind, want none", i)
				}
				if i != removed {
					changedOthers++
				}
			}
			r.Cover(start, length, func(int, bool) {})
			for ; removed < 2*n; removed += 2 * (1 + n/40) {
				for _, add := range []bool{false, true} {
					if changedOthers = 0; add {
						r.Add(0, 0, uint32(removed), removed)
					} else {
						r.Remove(groups[0], uint32(removed))
					}
					if r.Cover(start, length, count); changedOthers > 2 {
						t.Fatalf(
							"got %d other members enter or leave by 1 change in a group of %d, want up to 2; interval length %v",
							changedOthers, n, length)
					}
				}
			}
		}
	}
}
