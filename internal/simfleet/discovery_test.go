package simfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/http1"
)

// readWatch opens a watch from a revision and reads the given number of lines, heartbeats not counted. It
// returns the revision and the number of entries of each line, and whether any line is a full list.
func readWatch(t *testing.T, addr string, from, lines int) (revisions, entries []int, full bool) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(conn, "GET /catalog/members?watch=1&from=%d HTTP/1.1\r\nHost: x\r\n\r\n", from)
	if err != nil {
		t.Fatal(err)
	}
	reader := http1.NewReader(conn)
	if m, err := reader.Head(); err != nil || m.Status != 200 {
		t.Fatal(m, err)
	}
	for in := bufio.NewScanner(reader.ChunkedBody()); len(revisions) < lines && in.Scan(); {
		if len(in.Bytes()) == 0 {
			continue
		}
		var m endpoints.Message
		if err := json.Unmarshal(in.Bytes(), &m); err != nil {
			t.Fatal(err)
		}
		revisions, entries = append(revisions, int(m.Revision)), append(entries, len(m.Endpoints))
		full = full || m.Complete
	}
	return revisions, entries, full
}

// A watch from a revision gets a line for each change since that revision. A watch from a revision that never
// existed, or from an older revision after a restart of discovery, gets the full list.
func TestDiscoverySendsChangesSinceARevision(t *testing.T) {
	workers := make([]endpoints.Endpoint, 10)
	for i := range workers {
		workers[i] = endpoints.Endpoint{UID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", State: endpoints.Ready}
	}
	d, err := newDiscovery(2, workers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { d.close() }()
	remove := func(e *endpoints.Endpoint) { e.State = endpoints.Removed }
	check := func(from int, wantRevisions, wantEntries []int, wantFull bool) {
		t.Helper()
		revisions, entries, full := readWatch(t, d.addr(1), from, len(wantRevisions))
		if !slices.Equal(revisions, wantRevisions) || !slices.Equal(entries, wantEntries) || full != wantFull {
			t.Errorf("watch from revision %d: got revisions %v, entries a line %v, full list %v; want %v, %v, %v",
				from, revisions, entries, full, wantRevisions, wantEntries, wantFull)
		}
	}
	check(0, []int{1}, []int{10}, true)
	check(1, []int{1}, []int{0}, false)
	if n := d.publish([]int{3, 4, 5}, remove, linePerEntry); n != 3 {
		t.Errorf("3 entries with a line each: got %d lines, want 3", n)
	}
	if n := d.publish([]int{6, 7}, remove, singleLine); n != 1 {
		t.Errorf("2 entries in a single line: got %d lines, want 1", n)
	}
	check(1, []int{2, 3, 4, 5}, []int{1, 1, 1, 2}, false)
	check(4, []int{5}, []int{2}, false)
	check(99, []int{5}, []int{5}, true)
	d.close()
	if conn, err := net.Dial("tcp", d.addr(1)); err == nil {
		conn.Close()
		t.Error("discovery accepted a connection while it was down; want the connection refused")
	}
	d.dropHistory()
	if err := d.open(); err != nil {
		t.Fatal(err)
	}
	check(4, []int{5}, []int{5}, true)
	check(5, []int{5}, []int{0}, false)
	if in := d.traffic[1].in.Load(); in < 1000 || d.traffic[0].in.Load() != 0 || d.traffic[1].out.Load() < 100 {
		t.Errorf("scheduler 1 received %d bytes, want at least 1000 (and 100 sent); scheduler 0 %d bytes, want 0",
			in, d.traffic[0].in.Load())
	}
}
