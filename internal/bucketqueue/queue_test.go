package bucketqueue

import (
	"testing"

	"pgregory.net/rapid"
)

// After a random sequence of Put and Remove calls on two queues, each queue contains the same nodes under the
// same keys as a reference map, and Smallest returns the nodes with the smallest keys in order.
func TestQueueAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues := [2]Queue[int]{}
		nodes := make([]Node[int], 40)
		type place struct{ queue, key int }
		want := map[int]place{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			nodes[i].Value = i
			if rapid.IntRange(0, 3).Draw(t, "do") == 0 {
				nodes[i].Remove()
				delete(want, i)
				continue
			}
			q, key := rapid.IntRange(0, 1).Draw(t, "queue"), rapid.IntRange(-2, Buckets+2).Draw(t, "key")
			queues[q].Put(&nodes[i], key)
			want[i] = place{q, min(max(key, 0), Buckets-1)}
		}
		limit, maxKey := rapid.IntRange(0, 50).Draw(t, "limit"), rapid.IntRange(0, Buckets).Draw(t, "max key")
		for q := range queues {
			size, below := 0, 0
			for i, p := range want {
				if n := &nodes[i]; n.Queue() != &queues[p.queue] || n.Key() != p.key {
					t.Fatalf("node %d has key %d in its queue, expected queue and key %v", i, n.Key(), p)
				}
				if p.queue == q {
					size++
					if p.key <= maxKey {
						below++
					}
				}
			}
			if queues[q].Len() != size {
				t.Fatalf("queue has %d nodes, want %d", queues[q].Len(), size)
			}
			smallest := queues[q].Smallest(nil, limit, maxKey, rapid.Uint().Draw(t, "rotation"))
			if len(smallest) != min(limit, below) {
				t.Fatalf("Smallest returned %d nodes, want %d", len(smallest), min(limit, below))
			}
			seen, highest := map[*Node[int]]bool{}, 0
			for _, n := range smallest {
				if seen[n] || n.Queue() != &queues[q] || n.Key() < highest {
					t.Fatal(
						"Smallest returned a node twice, a node of another queue, or nodes that are not in order of their keys")
				}
				seen[n], highest = true, n.Key()
			}
			for i, p := range want {
				if p.queue == q && p.key < highest && !seen[&nodes[i]] {
					t.Fatalf("Smallest omitted node %d with key %d, but returned a node with key %d", i, p.key, highest)
				}
			}
		}
	})
}
