package node

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dahliaford/internal/http1"
	"dahliaford/internal/scheduler"
)

// A node is not ready for clients without a valid list, unless that lasts.
func TestHealthWaitsForTheList(t *testing.T) {
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: parseTestSettings(t)})
	defer n.close()
	if n.ready() {
		t.Error("ready before a list was received")
	}
	n.timer, n.watch = time.NewTimer(time.Hour), &watch{}
	if err := n.handle(watchUpdate{watch: n.watch, event: scheduler.WatchClosed{}}); err != nil {
		t.Error(err)
	}
	if n.ready() {
		t.Error("ready though discovery did not answer")
	}
	n.receiveList(t, 0)
	if !n.ready() {
		t.Error("not ready with a list")
	}
	n.listReceived.Store(false)
	if n.start = n.start.Add(-2 * maxReadinessTimeout); !n.ready() {
		t.Error("never ready without discovery")
	}
}

// testReadinessLimit is when nine in ten nodes have to be ready on a day that ends soon, less the time that the
// front end may need to see it.
const testReadinessLimit = 4 * time.Second

// A node whose discovery refuses, fails or does not answer its calls reports ready on real connections as
// soon as the client with the shortest deadline would have waited in vain: not before, and well within 6 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	for _, way := range []string{"refuses", "answers 503", "resets", "is silent"} {
		for _, deadline := range []time.Duration{time.Second, 30 * time.Second} {
			t.Run(fmt.Sprint(way, ", a client waits ", deadline), func(t *testing.T) {
				t.Parallel()
				set := parseTestSettings(t)
				set.Dispatch.Dispatchers = 300
				for i := range set.Dispatch.Classes {
					c := &set.Dispatch.Classes[i]
					c.Deadline = scheduler.Micros(deadline.Microseconds())
					c.LatencyObjective = min(c.LatencyObjective, c.Deadline/2)
				}
				n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: set, Discovery: serveBrokenDiscovery(t, way)})
				done := runNode(n)
				conn, err := net.Dial("tcp", n.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				conn.SetDeadline(time.Now().Add(2 * testTimeout))
				read := http1.NewReader(conn)
				for refused := 0; ; refused++ {
					polledAt := time.Since(n.start)
					write(t, conn, "GET /_health HTTP/1.1\r\n\r\n")
					r, err := read.Response()
					if err != nil {
						t.Fatal(err)
					}
					if answered := time.Since(n.start); r.Status == 200 {
						if answered < min(deadline, maxReadinessTimeout) {
							t.Errorf("ready after %v", answered)
						}
						break
					} else if polledAt > testReadinessLimit {
						t.Fatalf("not ready after %v", polledAt)
					}
					time.Sleep(10 * time.Millisecond) // as a front end that checks now and then
				}
				n.Stop()
				checkEnd(t, done)
			})
		}
	}
}

// serveBrokenDiscovery returns the address of a discovery service that fails in one of several ways.
func serveBrokenDiscovery(t *testing.T, way string) string {
	t.Helper()
	l := listenLoopback(t)
	if way == "refuses" {
		l.Close()
		return l.Addr().String()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// The node may close the connection at any time: errors are ignored.
				_, _ = c.Read(make([]byte, 1<<12))
				switch way {
				case "answers 503":
					_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				case "resets":
					resetOnClose(t, c)
				default:
					_, _ = c.Read(make([]byte, 1)) // until the node closes it
				}
			}()
		}
	}()
	return l.Addr().String()
}
