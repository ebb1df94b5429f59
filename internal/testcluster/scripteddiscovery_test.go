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

// benchEndpoints returns entries of n workers in benchZones zones, of four kinds, with 40 workers in a cell.
func benchEndpoints(n int) []endpoints.Endpoint {
	entries := make([]endpoints.Endpoint, n)
	for i := range entries {
		entries[i] = endpoints.Endpoint{UID: fmt.Sprintf("worker-%05d", i),
			Addr: fmt.Sprintf("127.0.0.1:%d", 10000+i), Zone: fmt.Sprint("zone-", i%benchZones),
			Kind: fmt.Sprint("m", i/benchZones%4), Cell: i / 40, State: endpoints.Ready}
	}
	return entries
}

// scriptedDiscovery is a discovery service with a single watch, on which it sends only the messages that a
// benchmark asks for.
type scriptedDiscovery struct {
	net.Listener
	watch    net.Conn
	revision int64
}

func newScriptedDiscovery(tb testing.TB) *scriptedDiscovery {
	tb.Helper()
	l, err := net.Listen("tcp", anyPortAddr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	return &scriptedDiscovery{Listener: l}
}

// accept waits until the scheduler opens its watch and sends the full list on it.
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

// send sends a message with the next revision on the watch.
func (d *scriptedDiscovery) send(tb testing.TB, m endpoints.Message) {
	tb.Helper()
	d.revision++
	m.Revision = d.revision
	if _, err := d.watch.Write(m.Chunk()); err != nil {
		tb.Fatal(err)
	}
}

// sendChange sends a message with one changed entry on the watch.
func (d *scriptedDiscovery) sendChange(tb testing.TB, entry endpoints.Endpoint) {
	tb.Helper()
	d.send(tb, endpoints.Message{Endpoints: []endpoints.Endpoint{entry}})
}

// heartbeat sends a heartbeat, an empty message, on the watch.
func (d *scriptedDiscovery) heartbeat() error {
	_, err := d.watch.Write(endpoints.Message{}.Chunk())
	return err
}

// waitUntilIdle waits until a process takes less than 2 ms of CPU time within 200 ms, and returns the CPU
// time that the process has taken since its start. Meanwhile it sends heartbeats on the watch.
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

// cpuTime returns the CPU time that a process has taken since its start, from the process's CPU-time clock.
func cpuTime(tb testing.TB, p *Process) time.Duration {
	tb.Helper()
	var at unix.Timespec
	// The clock id is computed from the process id as clock_getcpuclockid(3) does.
	if err := unix.ClockGettime(int32(^p.cmd.Process.Pid<<3|2), &at); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(at.Nano())
}
