// Package bucketqueue keeps things in order of a small whole number, roughly the cost of each: a
// bucket queue (Dial, 1969). Putting, moving and taking out take constant time, whatever the
// size; the least are found by one word of bits. It decides nothing.
package bucketqueue

import "math/bits"

// Buckets is the number of keys, 0 to Buckets-1.
const Buckets = 64

// Node is the handle of one thing. The zero Node is in no queue.
type Node[T any] struct {
	Value T
	queue *Queue[T]
	key   uint8
	at    int32 // in its bucket
}

// Queue holds nodes by key. The zero Queue is empty.
type Queue[T any] struct {
	used    uint64 // one bit for each bucket that holds something
	size    int
	buckets [Buckets][]*Node[T]
}

// Queue is the queue that holds the node, nil if none does.
func (n *Node[T]) Queue() *Queue[T] { return n.queue }

// Key is the key that the node was put under last.
func (n *Node[T]) Key() int { return int(n.key) }

// Len is the number of nodes held.
func (q *Queue[T]) Len() int { return q.size }

// Put places a node under a key, out of wherever it was. Keys out of bounds count as the
// nearest within.
func (q *Queue[T]) Put(n *Node[T], key int) {
	k := uint8(min(max(key, 0), Buckets-1))
	if n.queue == q && n.key == k {
		return
	}
	n.Remove()
	n.queue, n.key, n.at = q, k, int32(len(q.buckets[k]))
	q.buckets[k] = append(q.buckets[k], n)
	q.used |= 1 << k
	q.size++
}

// Remove takes the node out of its queue, if it is in one.
func (n *Node[T]) Remove() {
	q := n.queue
	if q == nil {
		return
	}
	list := q.buckets[n.key]
	last := list[len(list)-1]
	list[n.at], last.at = last, n.at
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		q.used &^= 1 << n.key
	}
	q.buckets[n.key] = list
	q.size--
	n.queue = nil
}

// Smallest appends up to most nodes to a list, by key from below up to a key, and returns it.
// Within a bucket it begins at a place that turn gives, so that equals take turns. The queue
// may be changed before the list is used.
func (q *Queue[T]) Smallest(list []*Node[T], most, upTo int, turn uint) []*Node[T] {
	for used := q.used; used != 0 && most > 0; used &= used - 1 {
		k := bits.TrailingZeros64(used)
		if k > upTo {
			break
		}
		of := q.buckets[k]
		from := int(turn % uint(len(of)))
		for i := range min(len(of), most) {
			list = append(list, of[(from+i)%len(of)])
		}
		most -= len(of)
	}
	return list
}
