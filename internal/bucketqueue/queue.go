// Package bucketqueue implements a priority queue for small integer keys: a bucket queue (Dial, 1969). The
// caller derives the key of each node from a cost. Adding, moving and removing a node take constant time,
// whatever the number of nodes. A bit set of one machine word shows which buckets have nodes, so that the
// nodes with the smallest keys are found without a scan. The package makes no scheduling decisions.
package bucketqueue

import "math/bits"

// Buckets is the number of buckets. There is one bucket for each key, and keys range from 0 to Buckets-1.
const Buckets = 64

// Node holds a value and the node's place in a queue. The zero Node is in no queue.
type Node[T any] struct {
	Value T
	queue *Queue[T]
	key   uint8
	index int32 // index of the node in the bucket of its key
}

// Queue holds nodes in buckets, one bucket for each key. The zero Queue is empty.
type Queue[T any] struct {
	nonEmpty uint64 // bit k is set if the bucket of key k has nodes
	size     int    // number of nodes in all buckets
	buckets  [Buckets][]*Node[T]
}

// Queue returns the queue that contains the node, or nil if no queue does.
func (n *Node[T]) Queue() *Queue[T] { return n.queue }

// Key returns the key from the node's last Put, from 0 to Buckets-1. Remove does not reset the key.
func (n *Node[T]) Key() int { return int(n.key) }

// Len returns the number of nodes in the queue.
func (q *Queue[T]) Len() int { return q.size }

// Put adds a node to the queue with the given key. A node that is already in this or another queue is
// removed from there first. Keys below 0 and above Buckets-1 are clamped to these bounds.
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

// Remove removes the node from its queue. Remove has no effect on a node that is in no queue.
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

// Smallest appends up to limit nodes to list in ascending order of their keys, and returns the extended list.
// Nodes with keys above maxKey are left out. Within a bucket, the first node is chosen by rotation modulo the
// size of the bucket: with a different rotation in each call, nodes with equal keys are returned in turn. The
// returned list remains valid when the queue changes.
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
