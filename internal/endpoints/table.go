package endpoints

import "slices"

// Table is the list of endpoints with its revision, and a bounded history of the changes with each revision.
// A Removed endpoint stays in the table, so that indexes stay valid and a change since an old revision can
// still contain the removal. A Table is not safe for concurrent use.
type Table struct {
	revision   int64
	entries    []Endpoint
	indexes    map[string]int // index of each endpoint in entries, by UID
	history    []revision     // published changes with the revisions after oldest, in order
	oldest     int64          // oldest revision since which all changes are in the history
	maxHistory int            // largest number of revisions in the history
}

// revision is the change that was published with one revision number of a table.
type revision struct {
	change Message
	chunk  []byte // encoded change; nil if not encoded yet
}

// NewTable returns a table at revision 1 with the given entries. The table keeps the changes of the last
// maxHistory revisions. With maxHistory 0 it keeps none, and Since returns the full list for every older
// revision.
func NewTable(maxHistory int, entries ...Endpoint) *Table {
	t := &Table{revision: 1, oldest: 1, maxHistory: maxHistory, indexes: map[string]int{}}
	for _, e := range entries {
		t.Add(e)
	}
	return t
}

// Add appends an endpoint without a new revision and returns the endpoint's index. Readers do not see the
// change, so Add is for a table that has no readers yet, and for an endpoint that is Removed until a later
// Publish.
func (t *Table) Add(e Endpoint) int {
	index := len(t.entries)
	t.entries = append(t.entries, e)
	t.indexes[e.UID] = index
	return index
}

// Revision returns the current revision.
func (t *Table) Revision() int64 { return t.revision }

// Len returns the number of entries, which include Removed endpoints.
func (t *Table) Len() int { return len(t.entries) }

// At returns the entry at an index from 0 to Len()-1.
func (t *Table) At(index int) Endpoint { return t.entries[index] }

// Publish changes endpoints with one new revision: each given endpoint replaces the entry with the same UID,
// or is appended if there is no such entry. Publish returns the change, with the endpoints in the given
// order. Without endpoints, only the revision is incremented.
func (t *Table) Publish(changed ...Endpoint) Message {
	for _, e := range changed {
		if index, known := t.indexes[e.UID]; known {
			t.entries[index] = e
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

// MoveToEnd moves the endpoint with the given UID to the end of the table, without a new revision. The
// indexes of all endpoints behind the old index change. An unknown UID changes nothing.
func (t *Table) MoveToEnd(uid string) {
	index, known := t.indexes[uid]
	if !known {
		return
	}
	moved := t.entries[index]
	t.entries = append(slices.Delete(t.entries, index, index+1), moved)
	for i, e := range t.entries[index:] {
		t.indexes[e.UID] = index + i
	}
}

// DropHistory deletes the history. From then on, Since returns the full list for every older revision.
func (t *Table) DropHistory() { t.history, t.oldest = nil, t.revision }

// HistoryCovers reports whether the table has all changes since a revision.
func (t *Table) HistoryCovers(rev int64) bool { return rev >= t.oldest && rev <= t.revision }

// Full returns the full list, without Removed endpoints.
func (t *Table) Full() Message {
	m := Message{Revision: t.revision, Complete: true, Endpoints: make([]Endpoint, 0, len(t.entries))}
	for _, e := range t.entries {
		if e.State != Removed {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m
}

// Since returns one message that brings a reader from a revision to the current one. The message has each
// changed endpoint once with its current entry, in table order. If the history does not cover the revision,
// the message is the full list.
func (t *Table) Since(rev int64) Message {
	if !t.HistoryCovers(rev) {
		return t.Full()
	}
	var indexes []int
	for _, r := range t.history[rev-t.oldest:] {
		for _, e := range r.change.Endpoints {
			indexes = append(indexes, t.indexes[e.UID])
		}
	}
	slices.Sort(indexes)
	m := Message{Revision: t.revision}
	for _, index := range slices.Compact(indexes) {
		m.Endpoints = append(m.Endpoints, t.entries[index])
	}
	return m
}

// ChunksSince returns the changes since a revision as published, each encoded as one chunk. All callers share
// the encoded chunks and must not modify them. ok is false if the history does not cover the revision.
func (t *Table) ChunksSince(rev int64) (chunks [][]byte, ok bool) {
	if !t.HistoryCovers(rev) {
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
