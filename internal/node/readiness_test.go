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

// A node reports that it is not ready until it has received a worker list, but for at most readinessTimeout.
func TestHealthWaitsForTheList(t *testing.T) {
	n := listenNode(t, Config{Listen: "127.0.0.1:0", Settings: parseTestSettings(t)})
	defer n.close()
	if n.ready() {
		t.Error("the node is ready before it has received a list, want not ready")
	}
	n.timer, n.watch = time.NewTimer(time.Hour), &watch{}
	if err := n.handle(watchUpdate{watch: n.watch, event: scheduler.WatchClosed{}}); err != nil {
		t.Error(err)
	}
	if n.ready() {
		t.Error("the node is ready after a watch failed without a list, want not ready")
	}
	n.receiveList(t, 0)
	if !n.ready() {
		t.Error("the node is not ready after it has received a list, want ready")
	}
	n.listReceived.Store(false)
	if n.start = n.start.Add(-2 * maxReadinessTimeout); !n.ready() {
		t.Error("the node is not ready without a list after twice maxReadinessTimeout, want ready")
	}
}

// testReadinessLimit is the time after the start by which a node has to report ready. Nine in ten nodes must
// be in service after 6 s; the difference is for the front end, which checks health only at intervals.
const testReadinessLimit = 4 * time.Second

// A node whose discovery service refuses connections, fails requests or does not respond reports ready over
// real connections when the shortest deadline of any class has passed since the start, but at most after
// maxReadinessTimeout. It must not report ready before that.
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
							t.Errorf("the node is ready %v after its start, want it ready only after the shortest class deadline",
								answered)
						}
						break
					} else if polledAt > testReadinessLimit {
						t.Fatalf("the node is not ready %v after its start, want it ready within testReadinessLimit", polledAt)
					}
					time.Sleep(10 * time.Millisecond) // A front end checks health at intervals as well.
				}
				n.Stop()
				checkEnd(t, done)
			})
		}
	}
}

// serveBrokenDiscovery starts a discovery service that fails in the given way, and returns its address.
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
				// The node may close the connection at any time, so errors are ignored.
				_, _ = c.Read(make([]byte, 1<<12))
				switch way {
				case "answers 503":
					_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
				case "resets":
					resetOnClose(t, c)
				default:
					_, _ = c.Read(make([]byte, 1)) // This read blocks until the node closes the connection.
				}
			}()
		}
	}()
	return l.Addr().String()
}
