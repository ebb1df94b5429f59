package emulator

// event is something that happens at a time.
type event struct {
	at  Micros
	seq uint64 // in the order in which they were asked for: it breaks ties
	do  func()
}

func (e *event) precedes(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// queue is a binary heap of events, the earliest first.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) push(at Micros, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h[i].precedes(&h[up]) {
			return
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// pop takes the earliest event; any is false if there is none.
func (q *queue) pop() (first event, any bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	h := q.heap
	first = h[0]
	last := len(h) - 1
	h[0] = h[last]
	h[last] = event{} // lets what it holds go
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h[c].precedes(&h[least]) {
				least = c
			}
		}
		if least == i {
			return first, true
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
