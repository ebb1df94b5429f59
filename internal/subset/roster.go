// Package subset keeps members in crowds, all of one zone and kind, each in order of number, and
// knows which of them an interval of the circle covers. It decides nothing.
//
// Within its crowd of n, the member of rank i (from 0) stands at (i+0.5)/n on a circle that is 1
// round. A change costs a search and a move of memory in one crowd, and the interval is not walked:
// only those that enter or leave it are told, at most one at each end for one that goes.
package subset

import (
	"cmp"
	"slices"
	"sort"
)

// Ring is the members by zone and kind. The zero Roster is empty.
type Ring[M any] struct {
	crowds []*Group[M] // by zone, then kind; none is empty
	size   int
}

// Group is the members of one zone and kind, by number.
type Group[M any] struct {
	zone, kind   int
	shifts       uint64 // changes so far: while it stays, so do ranks
	numbers      []uint32
	members      []M
	runs         [2]run  // of ranks that are covered: from the first on, and from the place on
	place, reach float64 // what they were reckoned for; a negative reach: not since the last change
}

// run is the ranks from lo up to hi, without that.
type run struct{ lo, hi int }

func (r run) has(rank int) bool { return r.lo <= rank && rank < r.hi }

// Len is the number of members.
func (r *Ring[M]) Len() int { return r.size }

// Zones is the number of zones that have members. It costs by the number of crowds.
func (r *Ring[M]) Zones() int {
	n := 0
	for i, c := range r.crowds {
		if i == 0 || r.crowds[i-1].zone != c.zone {
			n++
		}
	}
	return n
}

func (r *Ring[M]) search(zone, kind int) (int, bool) {
	return slices.BinarySearchFunc(r.crowds, zone, func(c *Group[M], zone int) int {
		return cmp.Or(cmp.Compare(c.zone, zone), cmp.Compare(c.kind, kind))
	})
}

// Add takes a member in, whose number must be new to its zone and kind. It tells the crowd that the
// member is in now, and whether it came between two that are covered, and so is covered, too.
func (r *Ring[M]) Add(zone, kind int, number uint32, m M) (c *Group[M], covered bool) {
	at, found := r.search(zone, kind)
	if !found {
		r.crowds = slices.Insert(r.crowds, at, &Group[M]{zone: zone, kind: kind})
	}
	c = r.crowds[at]
	rank, _ := slices.BinarySearch(c.numbers, number)
	c.numbers, c.members = slices.Insert(c.numbers, rank, number), slices.Insert(c.members, rank, m)
	for i := range c.runs {
		switch o := &c.runs[i]; {
		case rank <= o.lo:
			o.lo, o.hi = o.lo+1, o.hi+1
		case rank < o.hi:
			o.hi, covered = o.hi+1, true
		}
	}
	r.size++
	c.changed()
	return c, covered
}

// Remove takes a member out of its crowd. Whoever calls knows whether it was covered.
func (r *Ring[M]) Remove(c *Group[M], number uint32) {
	rank, found := slices.BinarySearch(c.numbers, number)
	if !found {
		return
	}
	c.numbers, c.members = slices.Delete(c.numbers, rank, rank+1), slices.Delete(c.members, rank, rank+1)
	for i := range c.runs {
		switch o := &c.runs[i]; {
		case rank < o.lo:
			o.lo, o.hi = o.lo-1, o.hi-1
		case rank < o.hi:
			o.hi--
		}
	}
	r.size--
	c.changed()
	if len(c.numbers) == 0 {
		at, _ := r.search(c.zone, c.kind)
		r.crowds = slices.Delete(r.crowds, at, at+1)
	}
}

func (c *Group[M]) changed() {
	c.shifts++
	c.reach = -1
}

// Generation counts the changes of a crowd. While it stays, so do the places of its members.
func (c *Group[M]) Generation() uint64 { return c.shifts }

// Position is the place of the member of a number.
func (c *Group[M]) Position(number uint32) float64 {
	rank, _ := slices.BinarySearch(c.numbers, number)
	return c.at(rank)
}

func (c *Group[M]) at(rank int) float64 { return (float64(rank) + 0.5) / float64(len(c.numbers)) }

// Distance is how far one place comes behind another on the circle.
func Distance(from, to float64) float64 {
	gap := to - from
	if gap < 0 {
		gap++
	}
	return gap
}

// Cover makes the interval begin at a place and reach so far, and tells who has come into it and
// who has left it since the last call.
func (r *Ring[M]) Cover(place, reach float64, moved func(m M, in bool)) {
	for _, c := range r.crowds {
		if c.place != place || c.reach != reach {
			c.cover(place, reach, moved)
		}
	}
}

func (c *Group[M]) cover(place, reach float64, moved func(m M, in bool)) {
	beyond := func(rank int) bool { return Distance(place, c.at(rank)) >= reach }
	n := len(c.numbers)
	from := sort.Search(n, func(rank int) bool { return c.at(rank) >= place })
	to := from + sort.Search(n-from, func(i int) bool { return beyond(from + i) })
	now, before := [2]run{{0, sort.Search(from, beyond)}, {from, to}}, c.runs
	c.runs, c.place, c.reach = now, place, reach
	each(before, now, func(rank int) { moved(c.members[rank], false) })
	each(now, before, func(rank int) { moved(c.members[rank], true) })
}

// each goes through the ranks of two runs that two others do not have.
func each(of, but [2]run, do func(rank int)) {
	for _, r := range of {
		for rank := r.lo; rank < r.hi; {
			switch {
			case but[0].has(rank):
				rank = but[0].hi
			case but[1].has(rank):
				rank = but[1].hi
			default:
				do(rank)
				rank++
			}
		}
	}
}

// Clone copies a roster onto other members; link hears of each where it is in the copy.
func (r *Ring[M]) Clone(of func(M) M, link func(M, *Group[M])) Ring[M] {
	copied := Ring[M]{size: r.size, crowds: make([]*Group[M], len(r.crowds))}
	for i, c := range r.crowds {
		n := *c
		n.numbers, n.members = slices.Clone(c.numbers), make([]M, len(c.members))
		copied.crowds[i] = &n
		for rank, m := range c.members {
			n.members[rank] = of(m)
			link(n.members[rank], &n)
		}
	}
	return copied
}
