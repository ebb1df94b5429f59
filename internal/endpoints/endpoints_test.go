package endpoints

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// summary returns the kind and revision of a message, and the UID and state of each endpoint.
func summary(m Message) string {
	kind := "change"
	if m.Complete {
		kind = "full"
	}
	fields := []string{fmt.Sprintf("%s %d:", kind, m.Revision)}
	for _, e := range m.Endpoints {
		fields = append(fields, fmt.Sprintf("%s/%s", e.UID, e.State))
	}
	return strings.Join(fields, " ")
}

// expect checks the summary of a message: full list or change, revision, and each endpoint's UID and state.
func expect(t *testing.T, m Message, want string) {
	t.Helper()
	if got := summary(m); got != want {
		t.Errorf("message about endpoints: got kind, revision and endpoint states %q, want %q", got, want)
	}
}

func endpoint(uid string, state State) Endpoint { return Endpoint{UID: uid, State: state} }

// newTable returns a table with the ready endpoints a, b and c.
func newTable(maxHistory int) *Table {
	return NewTable(maxHistory, endpoint("a", Ready), endpoint("b", Ready), endpoint("c", Ready))
}

func TestWireFormat(t *testing.T) {
	e := Endpoint{UID: "s-1", Addr: "10.0.0.1:80", Zone: "r0a", Kind: "m14", Cell: 3, State: Draining,
		BootMs: 17}
	const entry = `{"uid":"s-1","endpoint":"10.0.0.1:80","az":"r0a","model":"m14","pod_group":3,` +
		`"state":"draining","boot_ms":17}`
	const markup = `{"uid":"\u003c\u0026\u003e","endpoint":"","az":"","model":"","pod_group":0,` +
		`"state":"","boot_ms":0}`
	for name, c := range map[string]struct {
		message Message
		line    string
	}{
		"full list": {Message{4, true, []Endpoint{e}},
			`{"rev":4,"all":true,"targets":[` + entry + "]}\n"},
		"empty full list": {Message{4, true, []Endpoint{}}, `{"rev":4,"all":true,"targets":[]}` + "\n"},
		"change": {Message{5, false, []Endpoint{e, e}},
			`{"rev":5,"all":false,"targets":[` + entry + "," + entry + "]}\n"},
		"change of nothing": {Message{Revision: 5}, `{"rev":5,"all":false,"targets":[]}` + "\n"},
		"heartbeat":         {Message{}, "\n"},
		"characters of markup": {Message{1, false, []Endpoint{{UID: "<&>"}}},
			`{"rev":1,"all":false,"targets":[` + markup + "]}\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.line, string(c.message.Line())); diff != "" {
				t.Error("line:", diff)
			}
			chunk := fmt.Sprintf("%x\r\n%s\r\n", len(c.line), c.line)
			if diff := cmp.Diff(chunk, string(c.message.Chunk())); diff != "" {
				t.Error("chunk:", diff)
			}
			if got := c.message.IsHeartbeat(); got != (name == "heartbeat") {
				t.Errorf("IsHeartbeat = %v, want its negation, as only the zero message is a heartbeat", got)
			}
		})
	}
	if got := string(Message{}.Chunk()); got != "1\r\n\n\r\n" {
		t.Errorf("chunk of a heartbeat: got %q, want a chunk with one newline", got)
	}
}

func TestFullListLacksRemoved(t *testing.T) {
	table := newTable(8)
	expect(t, table.Full(), "full 1: a/ready b/ready c/ready")
	expect(t, table.Publish(endpoint("b", Removed)), "change 2: b/gone")
	expect(t, table.Full(), "full 2: a/ready c/ready")
	expect(t, table.Publish(endpoint("b", Draining), endpoint("d", Ready)), "change 3: b/draining d/ready")
	expect(t, table.Full(), "full 3: a/ready b/draining c/ready d/ready")
	if table.Len() != 4 || table.Revision() != 3 || table.At(1) != endpoint("b", Draining) {
		t.Errorf("table: got %d entries, revision %d and %+v at index 1; want 4, 3 and endpoint b draining",
			table.Len(), table.Revision(), table.At(1))
	}
}

func TestChangeSinceRevision(t *testing.T) {
	table := newTable(8)
	table.Publish(endpoint("c", Draining))
	table.Publish(endpoint("b", Removed))
	table.Publish(endpoint("c", Ready))
	for rev, want := range map[int64]string{
		-1: "full 4: a/ready c/ready",
		0:  "full 4: a/ready c/ready",
		1:  "change 4: b/gone c/ready",
		2:  "change 4: b/gone c/ready",
		3:  "change 4: c/ready",
		4:  "change 4:",
		5:  "full 4: a/ready c/ready", // above the current revision: of another table or before a restart
	} {
		expect(t, table.Since(rev), want)
	}
}

func TestChunksSinceRevision(t *testing.T) {
	table := newTable(8)
	drains, removed := table.Publish(endpoint("c", Draining)), table.Publish(endpoint("c", Removed))
	for rev, want := range map[int64][]Message{1: {drains, removed}, 2: {removed}, 3: {}} {
		chunks, ok := table.ChunksSince(rev)
		if !ok || len(chunks) != len(want) {
			t.Fatalf("changes since revision %d: got %d chunks and ok = %v, want %d chunks and ok = true",
				rev, len(chunks), ok, len(want))
		}
		for i := range want {
			if !slices.Equal(chunks[i], want[i].Chunk()) {
				t.Errorf("changes since revision %d: chunk %d is %q, want %q", rev, i, chunks[i], want[i].Chunk())
			}
		}
	}
	for _, rev := range []int64{0, 4} {
		if chunks, ok := table.ChunksSince(rev); ok || chunks != nil {
			t.Errorf("changes since unknown revision %d: got %d chunks or ok = true, want none and ok = false", rev,
				len(chunks))
		}
	}
}

// TestPublishedChangeDoesNotChange checks that a published change remains as published after the caller
// modifies its endpoints and after a later change of the same endpoint.
func TestPublishedChangeDoesNotChange(t *testing.T) {
	table := newTable(8)
	changed := []Endpoint{endpoint("a", Draining)}
	change := table.Publish(changed...)
	changed[0].State = Removed
	table.Publish(endpoint("a", Ready))
	expect(t, change, "change 2: a/draining")
	if chunks, _ := table.ChunksSince(1); !slices.Equal(chunks[0], change.Chunk()) {
		t.Errorf("%q", chunks[0])
	}
}

func TestHistoryIsBounded(t *testing.T) {
	for _, c := range []struct{ maxHistory, known int }{{0, 0}, {2, 2}, {100, 5}} {
		t.Run(fmt.Sprint(c.maxHistory), func(t *testing.T) {
			table := newTable(c.maxHistory)
			for range 5 {
				table.Publish(endpoint("a", Draining))
			}
			for rev := int64(1); rev <= 6; rev++ {
				want := rev >= int64(6-c.known)
				if table.HistoryCovers(rev) != want || table.Since(rev).Complete == want {
					t.Errorf("revision %d of %d: got in the history = %v, want %v, and a full list from Since if not",
						rev, table.Revision(), table.HistoryCovers(rev), want)
				}
			}
		})
	}
}

func TestForget(t *testing.T) {
	table := newTable(8)
	table.Publish(endpoint("a", Removed))
	table.DropHistory()
	expect(t, table.Since(1), "full 2: b/ready c/ready")
	expect(t, table.Since(2), "change 2:")
	// Revision 3 changes no endpoint, and the history with its change is then dropped. A reader at revision 2
	// must get the full list.
	expect(t, table.Publish(), "change 3:")
	table.DropHistory()
	expect(t, table.Since(2), "full 3: b/ready c/ready")
	table.Publish(endpoint("a", Ready))
	expect(t, table.Since(3), "change 4: a/ready")
}

func TestMoveToEnd(t *testing.T) {
	table := newTable(8)
	table.MoveToEnd("a")
	table.MoveToEnd("unknown")
	expect(t, table.Full(), "full 1: b/ready c/ready a/ready")
	table.Publish(endpoint("a", Draining), endpoint("b", Draining))
	expect(t, table.Full(), "full 2: b/draining c/ready a/draining")
	expect(t, table.Since(1), "change 2: b/draining a/draining")
}

func TestAddHasNoRevision(t *testing.T) {
	table := newTable(8)
	if index := table.Add(endpoint("d", Removed)); index != 3 {
		t.Errorf("index of the added endpoint: got %d, want 3", index)
	}
	expect(t, table.Full(), "full 1: a/ready b/ready c/ready")
	expect(t, table.Since(1), "change 1:")
	table.Publish(endpoint("d", Ready))
	expect(t, table.Since(1), "change 2: d/ready")
}

// TestReadersFollowTheTable checks that a reader that applies the messages of Since has the entries of the
// table, whatever revision the reader starts from and whichever revisions it skips.
func TestReadersFollowTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rapid.IntRange(0, 6).Draw(t, "history"))
		reader, rev := map[string]Endpoint{}, int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var changed []Endpoint
			for _, uid := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 3, rapid.ID).Draw(t, "uids") {
				state := rapid.SampledFrom([]State{Ready, Draining, Removed}).Draw(t, "state")
				changed = append(changed, Endpoint{UID: fmt.Sprint(uid), State: state, BootMs: table.Revision()})
			}
			table.Publish(changed...)
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				table.DropHistory()
			}
			if rapid.Bool().Draw(t, "skip") {
				continue
			}
			m := table.Since(rev)
			if m.Complete {
				clear(reader)
			}
			for _, e := range m.Endpoints {
				reader[e.UID] = e
				if e.State == Removed {
					delete(reader, e.UID)
				}
			}
			rev = m.Revision
			want := map[string]Endpoint{}
			for _, e := range table.Full().Endpoints {
				want[e.UID] = e
			}
			if diff := cmp.Diff(want, reader); diff != "" || rev != table.Revision() {
				t.Fatalf("reader at revision %d, table at revision %d: entries have the difference (-want +got) %s",
					rev, table.Revision(), diff)
			}
		}
	})
}
