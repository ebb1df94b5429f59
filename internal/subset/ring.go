// Package subset implements the ring by which a dispatcher determines its subset of the workers. The workers
// are members of the ring, and the subset has the members whose positions on the ring lie in the dispatcher's
// interval. The package makes no scheduling decisions.
//
// Members are kept in groups. All members of a group have the same zone and kind and are sorted by their
// numbers; a member's index in this order is its rank. In a group of n members, the member of rank i, from 0
// to n-1, has the position (i+0.5)/n on a ring of circumference 1.
//
// Adding or removing a member costs a binary search and a move of memory within one group. Setting the
// interval again does not visit all members in the interval: Cover reports only the members that enter or
// leave the interval. The removal of one member moves at most one other member across each end of the
// interval.
package subset

import (
	"cmp"
	"slices"
	"sort"
)

// Ring holds all members, grouped by zone and kind. The zero Ring is empty.
type Ring[M any] struct {
	groups []*Group[M] // groups (members of one zone and kind) that are not empty, sorted by zone, then by kind
	size   int         // number of members in all groups
}

// Group holds the members of one zone and kind, sorted by number.
type Group[M any] struct {
	zone, kind int
	// generation counts the additions and removals of members. The ranks of the members (their indexes in the
	// order by number) do not change while the generation does not change.
	generation uint64
	numbers    []uint32 // sorted numbers of the members, indexed by rank
	members    []M      // members, indexed by rank
	// covered holds the ranks (indexes in members) of the members in the interval. The second range begins at
	// the interval's start. The first range begins at rank 0 and is empty unless the interval wraps around the
	// end of the ring.
	covered [2]rankRange
	// start and length describe the interval for which the field covered was computed. The length is -1 if
	// members were added or removed after that computation.
	start, length float64
}

// rankRange is the half-open range of ranks from lo up to, but not including, hi. A rank is a member's index
// in its group (the members of one zone and kind).
type rankRange struct{ lo, hi int }

func (r rankRange) contains(rank int) bool { return r.lo <= rank && rank < r.hi }

// Len returns the number of members.
func (r *Ring[M]) Len() int { return r.size }

// Zones returns the number of zones that have members, in time proportional to the number of groups (members
// of one zone and kind).
func (r *Ring[M]) Zones() int {
	n := 0
	for i, group := range r.groups {
		if i == 0 || r.groups[i-1].zone != group.zone {
			n++
		}
	}
	return n
}

// findGroup returns the index of the group of a zone and kind in groups, and whether that group exists. For a
// missing group, the index is the place at which to insert the group.
func (r *Ring[M]) findGroup(zone, kind int) (int, bool) {
	return slices.BinarySearchFunc(r.groups, zone, func(group *Group[M], zone int) int {
		return cmp.Or(cmp.Compare(group.zone, zone), cmp.Compare(group.kind, kind))
	})
}

// Add adds a member. No member of the same zone and kind may have the same number. Add returns the group of
// the new member, and whether the member counts as covered, that is, as lying in the interval that Cover has
// set. Only a new member whose rank (index in the group's order by number) lies between the ranks of two
// covered members is covered at once. All other changes in which members are covered follow at the next call
// of Cover.
func (r *Ring[M]) Add(zone, kind int, number uint32, member M) (group *Group[M], covered bool) {
	at, found := r.findGroup(zone, kind)
	if !found {
		r.groups = slices.Insert(r.groups, at, &Group[M]{zone: zone, kind: kind})
	}
	group = r.groups[at]
	rank, _ := slices.BinarySearch(group.numbers, number)
	group.numbers = slices.Insert(group.numbers, rank, number)
	group.members = slices.Insert(group.members, rank, member)
	for i := range group.covered {
		ranks := &group.covered[i]
		switch {
		case rank <= ranks.lo:
			ranks.lo++
			ranks.hi++
		case rank < ranks.hi:
			ranks.hi++
			covered = true
		}
	}
	r.size++
	group.markChanged()
	return group, covered
}

// Remove removes the member with the given number from the group (the members of one zone and kind). A number
// that the group does not contain has no effect. Cover does not report the removed member as having left the
// interval, since the caller already knows whether the member was in the interval.
func (r *Ring[M]) Remove(group *Group[M], number uint32) {
	rank, found := slices.BinarySearch(group.numbers, number)
	if !found {
		return
	}
	group.numbers = slices.Delete(group.numbers, rank, rank+1)
	group.members = slices.Delete(group.members, rank, rank+1)
	for i := range group.covered {
		ranks := &group.covered[i]
		switch {
		case rank < ranks.lo:
			ranks.lo--
			ranks.hi--
		case rank < ranks.hi:
			ranks.hi--
		}
	}
	r.size--
	group.markChanged()
	if len(group.numbers) == 0 {
		at, _ := r.findGroup(group.zone, group.kind)
		r.groups = slices.Delete(r.groups, at, at+1)
	}
}

// markChanged counts an addition or removal of a member, and marks the field covered as outdated.
func (g *Group[M]) markChanged() {
	g.generation++
	g.length = -1
}

// Generation returns the number of additions and removals of the group's members so far. A group holds the
// members of one zone and kind. Their positions do not change while the generation does not change.
func (g *Group[M]) Generation() uint64 { return g.generation }

// Position returns the position on the ring, from 0 to 1, of the member with the given number.
func (g *Group[M]) Position(number uint32) float64 {
	rank, _ := slices.BinarySearch(g.numbers, number)
	return g.position(rank)
}

// position returns the position on the ring, from 0 to 1, of the member with the given rank, which is the
// member's index in the group's order by number.
func (g *Group[M]) position(rank int) float64 {
	return (float64(rank) + 0.5) / float64(len(g.numbers))
}

// Distance returns the distance on the ring from one position forward to another, from 0 up to 1.
func Distance(from, to float64) float64 {
	distance := to - from
	if distance < 0 {
		distance++
	}
	return distance
}

// Cover sets the interval of the ring, the part whose members count as covered, by its start and length, both
// as fractions of the circumference. Cover calls changed with in set to true for each member that has entered
// the interval since the last call, and with false for each member that has left the interval.
func (r *Ring[M]) Cover(start, length float64, changed func(member M, in bool)) {
	for _, group := range r.groups {
		if group.start != start || group.length != length {
			group.cover(start, length, changed)
		}
	}
}

// cover computes which members of a group (one zone and kind) lie in the interval with the given start and
// length, and calls changed for the members that enter or leave the interval. The members in the interval are
// recorded by rank, which is a member's index in the group's order by number.
func (g *Group[M]) cover(start, length float64, changed func(member M, in bool)) {
	outside := func(rank int) bool { return Distance(start, g.position(rank)) >= length }
	n := len(g.numbers)
	from := sort.Search(n, func(rank int) bool { return g.position(rank) >= start })
	to := from + sort.Search(n-from, func(i int) bool { return outside(from + i) })
	now, before := [2]rankRange{{0, sort.Search(from, outside)}, {from, to}}, g.covered
	g.covered, g.start, g.length = now, start, length
	forEachRankOnlyIn(before, now, func(rank int) { changed(g.members[rank], false) })
	forEachRankOnlyIn(now, before, func(rank int) { changed(g.members[rank], true) })
}

// forEachRankOnlyIn calls do for each rank (index of a member in its zone and kind) that a range in ranges
// contains and that no range in others contains. Consecutive ranks that a range in others contains are
// skipped in one step.
func forEachRankOnlyIn(ranges, others [2]rankRange, do func(rank int)) {
	for _, r := range ranges {
		for rank := r.lo; rank < r.hi; {
			switch {
			case others[0].contains(rank):
				rank = others[0].hi
			case others[1].contains(rank):
				rank = others[1].hi
			default:
				do(rank)
				rank++
			}
		}
	}
}

// Clone returns a deep copy of the ring. Clone calls copyOf to get the copy of each member, and then calls
// link with the copied member and the group (one zone and kind) of the cloned ring that contains the copied
// member.
func (r *Ring[M]) Clone(copyOf func(M) M, link func(M, *Group[M])) Ring[M] {
	copied := Ring[M]{size: r.size, groups: make([]*Group[M], len(r.groups))}
	for i, group := range r.groups {
		copiedGroup := *group
		copiedGroup.numbers = slices.Clone(group.numbers)
		copiedGroup.members = make([]M, len(group.members))
		copied.groups[i] = &copiedGroup
		for rank, member := range group.members {
			copiedGroup.members[rank] = copyOf(member)
			link(copiedGroup.members[rank], &copiedGroup)
		}
	}
	return copied
}
