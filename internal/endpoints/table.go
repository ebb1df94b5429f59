package endpoints

import "slices"

// Table is the list of endpoints with its revision, and a bounded history of what changed with each
// revision. An endpoint that is Removed keeps its place, so that places stay valid and a change since
// an old revision can still say that it was removed. A Table is not safe for concurrent use.
type Table struct {
	revision   int64
	entries    []Endpoint
	places     map[string]int // by UID
	history    []revision     // what came with each revision after oldest
	oldest     int64          // changes after this revision are known
	maxHistory int
}

// revision is what came with one revision of a table.
type revision struct {
	change Message
	chunk  []byte // of the change; nil: not encoded yet
}

// NewTable returns a table at revision 1. It remembers the changes of the last maxHistory revisions;
// 0 means none, so that each change since an older revision is the full list.
func NewTable(maxHistory int, entries ...Endpoint) *Table {
	t := &Table{revision: 1, oldest: 1, maxHistory: maxHistory, places: map[string]int{}}
	for _, e := range entries {
		t.Add(e)
	}
	return t
}

// Add appends an endpoint without a new revision: for a table that nobody has read yet, and for an
// endpoint that is Removed until it is published otherwise. It returns the endpoint's place.
func (t *Table) Add(e Endpoint) int {
	place := len(t.entries)
	t.entries = append(t.entries, e)
	t.places[e.UID] = place
	return place
}

// Revision is the present revision.
func (t *Table) Revision() int64 { return t.revision }

// Len is the number of entries, with those that are Removed.
func (t *Table) Len() int { return len(t.entries) }

// At is the entry at a place from 0 to Len()-1.
func (t *Table) At(place int) Endpoint { return t.entries[place] }

// Publish puts endpoints in with one new revision, each in the place of the entry with its UID or else
// at the end. It returns the change, with the endpoints in the order given. Without endpoints only the
// revision moves on.
func (t *Table) Publish(changed ...Endpoint) Message {
	for _, e := range changed {
		if place, known := t.places[e.UID]; known {
			t.entries[place] = e
		} else {
			t.Add(e)
		}
	}
	t.revision++
	change := Message{Revision: t.revision, Endpoints: slices.Clone(changed)}
	t.history = append(t.history, revision{change: change})
	if excess := len(t.history) - t.maxHistory; excess > 0 {
		t.history, t.oldest = t.history[excess:], t.oldest+int64(excess)
	}
	return change
}

// MoveToEnd moves the endpoint with a UID to the last place, without a new revision. An unknown one
// is left alone. The places of all endpoints behind it change.
func (t *Table) MoveToEnd(uid string) {
	place, known := t.places[uid]
	if !known {
		return
	}
	moved := t.entries[place]
	t.entries = append(slices.Delete(t.entries, place, place+1), moved)
	for i, e := range t.entries[place:] {
		t.places[e.UID] = place + i
	}
}

// Forget drops the history: each change since an older revision is the full list from then on.
func (t *Table) Forget() { t.history, t.oldest = nil, t.revision }

// Knows tells whether the history reaches back to a revision.
func (t *Table) Knows(rev int64) bool { return rev >= t.oldest && rev <= t.revision }

// Full is the full list, without the endpoints that are Removed.
func (t *Table) Full() Message {
	m := Message{Revision: t.revision, Complete: true, Endpoints: make([]Endpoint, 0, len(t.entries))}
	for _, e := range t.entries {
		if e.State != Removed {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m
}

// Since is one message that brings a reader from a revision to the present one: each endpoint that
// changed once, in the order of places, as it is now; or the full list if the history does not reach
// back that far.
func (t *Table) Since(rev int64) Message {
	if !t.Knows(rev) {
		return t.Full()
	}
	var places []int
	for _, r := range t.history[rev-t.oldest:] {
		for _, e := range r.change.Endpoints {
			places = append(places, t.places[e.UID])
		}
	}
	slices.Sort(places)
	m := Message{Revision: t.revision}
	for _, place := range slices.Compact(places) {
		m.Endpoints = append(m.Endpoints, t.entries[place])
	}
	return m
}

// ChunksSince is the changes since a revision one by one, as they were published, each encoded as a
// chunk. They are encoded once and shared: the caller must not write to them. ok is false if the
// history does not reach back that far.
func (t *Table) ChunksSince(rev int64) (chunks [][]byte, ok bool) {
	if !t.Knows(rev) {
		return nil, false
	}
	missed := t.history[rev-t.oldest:]
	chunks = make([][]byte, 0, len(missed))
	for i := range missed {
		if missed[i].chunk == nil {
			missed[i].chunk = missed[i].change.Chunk()
		}
		chunks = append(chunks, missed[i].chunk)
	}
	return chunks, true
}
