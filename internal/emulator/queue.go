package emulator

// event is an action that the simulation runs at a virtual time.
type event struct {
	at     Micros
	seq    uint64 // number of the event in the order of scheduling; orders events for the same time
	action func()
}

func (e *event) precedes(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a binary heap of events with the earliest event at its root.
type eventQueue struct {
	heap []event
	seq  uint64 // number of events scheduled so far, which is also the seq of the latest event
}

func (q *eventQueue) push(at Micros, action func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, action})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].precedes(&h[parent]) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// pop removes and returns the earliest event. It returns false if the queue is empty.
func (q *eventQueue) pop() (first event, ok bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	h := q.heap
	first = h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{} // Clearing the unused element lets the garbage collector free its action.
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if h[child].precedes(&h[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return first, true
		}
		h[i], h[smallest] = h[smallest], h[i]
		i = smallest
	}
}
