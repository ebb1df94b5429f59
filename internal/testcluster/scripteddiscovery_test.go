package testcluster

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dahliaford/internal/endpoints"
)

// benchZones is the number of zones of benchEndpoints.
const benchZones = 14

// benchEndpoints are n workers in 14 zones, of four kinds, 40 to a cell.
func benchEndpoints(n int) []endpoints.Endpoint {
	entries := make([]endpoints.Endpoint, n)
	for i := range entries {
		entries[i] = endpoints.Endpoint{UID: fmt.Sprintf("worker-%05d", i),
			Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Zone: fmt.Sprint("zone-", i%benchZones),
			Kind: fmt.Sprint("m", i/benchZones%4), Cell: i / 40, State: endpoints.Ready}
	}
	return entries
}

// scriptedDiscovery sends to the one watch that is open what a benchmark says.
type scriptedDiscovery struct {
	net.Listener
	watch    net.Conn
	revision int64
}

func newScriptedDiscovery(tb testing.TB) *scriptedDiscovery {
	tb.Helper()
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	return &scriptedDiscovery{Listener: l}
}

// accept waits for the watch and sends it the full list.
func (d *scriptedDiscovery) accept(tb testing.TB, entries []endpoints.Endpoint) {
	tb.Helper()
	conn, err := d.Accept()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	head := bufio.NewScanner(conn)
	for head.Scan() {
		if head.Text() == "" {
			break
		}
	}
	d.watch = conn
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		tb.Fatal(err)
	}
	d.send(tb, endpoints.Message{Complete: true, Endpoints: entries})
}

// send sends a full list or a change, with the next revision.
func (d *scriptedDiscovery) send(tb testing.TB, m endpoints.Message) {
	tb.Helper()
	d.revision++
	m.Revision = d.revision
	if _, err := d.watch.Write(m.Chunk()); err != nil {
		tb.Fatal(err)
	}
}

// sendChange sends a change of one entry.
func (d *scriptedDiscovery) sendChange(tb testing.TB, entry endpoints.Endpoint) {
	tb.Helper()
	d.send(tb, endpoints.Message{Endpoints: []endpoints.Endpoint{entry}})
}

// heartbeat keeps the watch alive.
func (d *scriptedDiscovery) heartbeat() error {
	_, err := d.watch.Write(endpoints.Message{}.Chunk())
	return err
}

// waitUntilIdle waits until a process has nothing to do, and returns the processor time that it has taken by
// then. Its watch is kept alive meanwhile.
func (d *scriptedDiscovery) waitUntilIdle(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	for before := cpuTime(tb, p); ; {
		if err := d.heartbeat(); err != nil {
			tb.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		now := cpuTime(tb, p)
		if now-before < 2*time.Millisecond {
			return now
		}
		before = now
	}
}

// cpuTime is the processor time that a process has taken, by its clock.
func cpuTime(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	var at unix.Timespec
	// The id of a process's clock of processor time, as clock_getcpuclockid makes it.
	if err := unix.ClockGettime(int32(^p.cmd.Process.Pid<<3|2), &at); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(at.Nano())
}
