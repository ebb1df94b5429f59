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

// An attempt states the client's remaining time, X-Remaining-Ms. That time must be computed when the first
// byte can be sent, after writeAttempt has waited for an update of the worker list to be applied. The wait
// can last up to the connect timeout, 250 ms, and the specification allows an error of 150 ms. The failure:
// if writeAttempt encodes the request before the wait, the stated time is too long by the length of the wait.
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

	// Until this worker list update is applied, the freshness guard rejects the attempt.
	n.freshness.countPosted(&watchReader{lastEmptyAt: began}, began)
	if err := raw.Write(writer.writeReady); err != nil || !errors.Is(writer.blockReason, errUpdatePending) {
		t.Fatalf("write before the update is applied: error %v, block reason %v, want nil and errUpdatePending",
			err, writer.blockReason)
	}
	for n.now() < began+wait {
		time.Sleep(time.Millisecond)
	}
	n.freshness.countApplied(n.now())
	released := n.now()
	if err := raw.Write(writer.writeReady); err != nil || writer.blockReason != nil || writer.err != nil {
		t.Fatalf("write after the update is applied: error %v, block reason %v, write error %v, want all nil",
			err, writer.blockReason, writer.err)
	}

	request, err := http.ReadRequest(bufio.NewReader(theirs))
	if err != nil {
		t.Fatal(err)
	}
	told, err := strconv.ParseInt(request.Header.Get("X-Remaining-Ms"), 10, 64)
	if left := e.deadline - released; err != nil || scheduler.Micros(told)*millisecond > left {
		t.Errorf("X-Remaining-Ms of the attempt (parse error %v): got %d ms, want at most the %d us left",
			err, told, left)
	}
}
