package node

import (
	"bufio"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"dahliaford/internal/scheduler"
)

// An attempt tells its worker how long its client still waits. That time was computed before the last check,
// and the check waits for an update of the worker list that is not applied yet: for 250 ms at most, the
// connect timeout. The worker was told that much more than was left, and the pages allow 150 ms.
//
// writeAttempt encoded the request before it called the check for the first time. Seen in this test, every
// time: a remaining time of 30,000 ms told 200 ms after that was so.
func TestRemainingTimeIsThatOfTheFirstByte(t *testing.T) {
	const wait = 200 * millisecond
	n := newHarness(t, 0, "r1").node
	ours, theirs := loopbackPair(t)
	began := n.now()
	e := &exchange{workerUID: "r1", requestID: "a1", payload: &payload{method: "POST", target: "/batch/7"},
		writeBy: began + 3600*second, deadline: began + 30*second}
	c := &workerConn{node: n, addr: "r1", ctx: t.Context()}
	defer c.releaseResponseOrder()
	raw, err := ours.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	writer := attemptWriter{conn: c, exchange: e}

	n.freshness.countPosted(&watchReader{lastEmptyAt: began}, began) // an update that is not applied
	if err := raw.Write(writer.writeReady); err != nil || !errors.Is(writer.blockReason, errUpdatePending) {
		t.Fatalf("%v, blocked by %v", err, writer.blockReason)
	}
	for n.now() < began+wait {
		time.Sleep(time.Millisecond)
	}
	n.freshness.countApplied(n.now())
	released := n.now()
	if err := raw.Write(writer.writeReady); err != nil || writer.blockReason != nil || writer.err != nil {
		t.Fatalf("%v, blocked by %v, %v", err, writer.blockReason, writer.err)
	}

	request, err := http.ReadRequest(bufio.NewReader(theirs))
	if err != nil {
		t.Fatal(err)
	}
	told, err := strconv.ParseInt(request.Header.Get("X-Remaining-Ms"), 10, 64)
	if left := e.deadline - released; err != nil || scheduler.Micros(told)*millisecond > left {
		t.Errorf("%v: told %d ms where %d us are left", err, told, left)
	}
}
