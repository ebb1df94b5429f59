// Package subset keeps members in groups, each of one zone and kind and in order of number, and knows
// which of them an interval of a ring covers. It decides nothing.
//
// Within its group of n, the member of rank i (from 0) has the position (i+0.5)/n on a ring of
// circumference 1. A change costs a search and a move of memory in one group, and the interval is not
// walked: only members that enter or leave it are reported, at most one at each end for one removal.
package subset

import (
	"cmp"
	"slices"
	"sort"
)

// Ring is the members by zone and kind. The zero Ring is empty.
type Ring[M any] struct {
	groups []*Group[M] // by zone, then kind; none is empty
	size   int
}

// Group is the members of one zone and kind, by number.
type Group[M any] struct {
	zone, kind    int
	generation    uint64 // counts changes: while it stays, so do ranks
	numbers       []uint32
	members       []M
	covered       [2]rankRange // by the interval: from rank 0 on if it wraps around, and from start on
	start, length float64      // the interval that covered is for; a negative length: outdated by a change
}

// rankRange is the ranks from lo up to, but not including, hi.
type rankRange struct{ lo, hi int }

func (r rankRange) contains(rank int) bool { return r.lo <= rank && rank < r.hi }

// Len is the number of members.
func (r *Ring[M]) Len() int { return r.size }

// Zones is the number of zones that have members. It takes time by the number of groups.
func (r *Ring[M]) Zones() int {
	n := 0
	for i, group := range r.groups {
		if i == 0 || r.groups[i-1].zone != group.zone {
			n++
		}
	}
	return n
}

func (r *Ring[M]) findGroup(zone, kind int) (int, bool) {
	return slices.BinarySearchFunc(r.groups, zone, func(group *Group[M], zone int) int {
		return cmp.Or(cmp.Compare(group.zone, zone), cmp.Compare(group.kind, kind))
	})
}

// Add adds a member, whose number must be new to its zone and kind. It returns the group that the
// member is in now, and whether it came between two covered ones, and so is covered, too.
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

// Remove removes the member of a number from its group; an unknown number has no effect. The caller
// knows whether it was covered.
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

func (g *Group[M]) markChanged() {
	g.generation++
	g.length = -1
}

// Generation counts the changes of a group. While it stays, so do the positions of its members.
func (g *Group[M]) Generation() uint64 { return g.generation }

// Position is the position on the ring, from 0 to 1, of the member of a number.
func (g *Group[M]) Position(number uint32) float64 {
	rank, _ := slices.BinarySearch(g.numbers, number)
	return g.position(rank)
}

func (g *Group[M]) position(rank int) float64 {
	return (float64(rank) + 0.5) / float64(len(g.numbers))
}

// Distance is how far one position comes behind another on the ring, from 0 to 1.
func Distance(from, to float64) float64 {
	distance := to - from
	if distance < 0 {
		distance++
	}
	return distance
}

// Cover sets the interval by its start and length, and reports which members have entered it (in) and
// which have left it since the last call.
func (r *Ring[M]) Cover(start, length float64, changed func(member M, in bool)) {
	for _, group := range r.groups {
		if group.start != start || group.length != length {
			group.cover(start, length, changed)
		}
	}
}

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

// forEachRankOnlyIn calls do for the ranks of two ranges that two others do not contain.
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

// Clone copies a ring. copyOf returns the copy of a member, and link is called with each of these and
// its group in the copy.
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
