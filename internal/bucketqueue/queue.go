// Package bucketqueue keeps nodes in order of a small integer key, roughly the cost of each: a bucket
// queue (Dial, 1969). Adding, moving and removing take constant time, whatever the size; the smallest
// are found by a bit set of one machine word. It decides nothing.
package bucketqueue

import "math/bits"

// Buckets is the number of keys, 0 to Buckets-1.
const Buckets = 64

// Node is the handle of a value. The zero Node is in no queue.
type Node[T any] struct {
	Value T
	queue *Queue[T]
	key   uint8
	index int32 // in its bucket
}

// Queue holds nodes by key. The zero Queue is empty.
type Queue[T any] struct {
	nonEmpty uint64 // one bit for each bucket that has nodes
	size     int
	buckets  [Buckets][]*Node[T]
}

// Queue is the queue that the node is in, nil if it is in none.
func (n *Node[T]) Queue() *Queue[T] { return n.queue }

// Key is the key that the node was put under last, from 0 to Buckets-1.
func (n *Node[T]) Key() int { return int(n.key) }

// Len is the number of nodes.
func (q *Queue[T]) Len() int { return q.size }

// Put puts a node under a key, and removes it from where it was. A key out of bounds counts as the
// nearest one within them.
func (q *Queue[T]) Put(n *Node[T], key int) {
	k := uint8(min(max(key, 0), Buckets-1))
	if n.queue == q && n.key == k {
		return
	}
	n.Remove()
	n.queue, n.key, n.index = q, k, int32(len(q.buckets[k]))
	q.buckets[k] = append(q.buckets[k], n)
	q.nonEmpty |= 1 << k
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
	list[n.index], last.index = last, n.index
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		q.nonEmpty &^= 1 << n.key
	}
	q.buckets[n.key] = list
	q.size--
	n.queue = nil
}

// Smallest appends up to limit nodes of the smallest keys, up to maxKey, to a list and returns it.
// Within a bucket it begins at an index that rotation gives, so that nodes of one key take turns. The
// queue may be changed before the list is used.
func (q *Queue[T]) Smallest(list []*Node[T], limit, maxKey int, rotation uint) []*Node[T] {
	for remaining := q.nonEmpty; remaining != 0 && limit > 0; remaining &= remaining - 1 {
		k := bits.TrailingZeros64(remaining)
		if k > maxKey {
			break
		}
		bucket := q.buckets[k]
		first := int(rotation % uint(len(bucket)))
		for i := range min(len(bucket), limit) {
			list = append(list, bucket[(first+i)%len(bucket)])
		}
		limit -= len(bucket)
	}
	return list
}
