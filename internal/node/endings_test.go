package node

import (
	"fmt"
	"testing"
	"time"
)

// level waits until a node holds so many connections to regions, and tasks on them.
func (n *Node) level(t *testing.T, open, tasks int) {
	t.Helper()
	var got string
	want := fmt.Sprintf("open %d, tasks %d, calls 0", open, tasks)
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n.do(func() {
			got = fmt.Sprintf("open %d, tasks %d, calls %d", n.open, len(n.tasks), n.calls)
		})
		if got == want {
			return
		}
	}
	t.Errorf("%s, want %s", got, want)
}

// A region whose answer never ends, and that tells by callback how its job ended, keeps no
// connection: with one for each job nothing could be sent before long.
func TestAnAnswerThatNeverEndsKeepsNoConnection(t *testing.T) {
	w := newWorld(t, leastSockets, "r1")
	ways := []string{"202 Accepted | Content-Length: 9", "100 Continue",
		"503 Busy | X-Turned-Away: 1 | Content-Length: 9"}
	news := []string{"done", "failed", "returned", "lost"}
	for i := range 2 * w.node.mostOpen {
		play(t, w, fmt.Sprintf(`
			c%[1]d send job post a%[1]d || work
			r1 expect POST /post/7?a=b txn=a%[1]d key=k body=work
			r1 send %[2]s
			back%[1]d send POST /callback || {"id":"a%[1]d","from":"r1","state":"%[3]s","result":"yes"}
			back%[1]d expect 204
			back%[1]d close
		`, i, ways[i%len(ways)], news[i/len(ways)%len(news)]))
	}
	w.node.level(t, 0, 0)
}
