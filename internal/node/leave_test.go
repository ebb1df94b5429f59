package node

import (
	"fmt"
	"testing"
)

// Clients that leave while their jobs wait take nothing with them: the books are as before, and
// the next job is taken, however many have left.
func TestClientsThatLeaveAreForgotten(t *testing.T) {
	w := newWorld(t, leastSockets, "r1")
	for i := range cap(w.node.slots) {
		play(t, w, fmt.Sprintf(`
			c%[1]d send job batch a%[1]d || work
			wait open 1
			c%[1]d close
			wait open 0
		`, i))
	}
	w.node.do(func() {
		if n := len(w.node.callers); n != 0 {
			t.Errorf("%d callers are kept", n)
		}
	})
}
