package emulator

// event is an action at a time.
type event struct {
	at     Micros
	seq    uint64 // number of the event in the order of scheduling: it breaks ties
	action func()
}

func (e *event) precedes(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// eventQueue is a binary heap of events, the earliest first.
type eventQueue struct {
	heap []event
	seq  uint64 // of the event scheduled last
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

// pop removes the earliest event; ok is false if there is none.
func (q *eventQueue) pop() (first event, ok bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	h := q.heap
	first = h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{} // so that the action can be collected
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
