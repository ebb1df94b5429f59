package node

import (
	"io"
	"net"
	"sync"
	"testing"

	"dahliaford/internal/http1"
)

const (
	// invalidJob is rejected with 400, because it has no X-Txn.
	invalidJob = "POST /post/7 HTTP/1.1\r\nX-Lane: post\r\nContent-Length: 0\r\n\r\n"
	// staleCallback names a job that the node does not know.
	staleCallback = "POST /callback HTTP/1.1\r\nContent-Length: 39\r\n\r\n" +
		`{"id":"a0","from":"r1","state":"done" }`
)

// requestKinds has a request of each kind that a client can send, by name, with the status that answers it.
var requestKinds = map[string]struct {
	text   string
	status int
}{
	"health check":        {"GET /_health HTTP/1.1\r\n\r\n", 200},
	"health check, POST":  {"POST /_health HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
	"not POST":            {"GET /post/7 HTTP/1.1\r\n\r\n", 405},
	"callback":            {staleCallback, 204},
	"unreadable callback": {"POST /callback HTTP/1.1\r\nContent-Length: 1\r\n\r\n{", 400},
	"job without an id":   {invalidJob, 400},
	"job with a malformed deadline": {"POST /post/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Lane: post\r\n" +
		"X-Remaining-Ms: soon\r\nContent-Length: 0\r\n\r\n", 400},
	"job of an unknown class": {"POST /other/7 HTTP/1.1\r\nX-Txn: a1\r\nX-Remaining-Ms: 900\r\n" +
		"Content-Length: 0\r\n\r\n", 400},
}

// Guards against clients that keep a connection open for which the node asked for the close, by sending the
// next request before the grace of the close is over: the response to a request that crosses the close has to
// end the connection, whatever the request was.
func TestResponseDuringTheCloseEndsTheConnection(t *testing.T) {
	w := newHarness(t, 0, "r1")
	for name, request := range requestKinds {
		t.Run(name, func(t *testing.T) {
			c, theirs := pipedClient(w.node)
			defer theirs.Close()
			c.closeWhenIdle()
			go c.serve()
			write(t, theirs, request.text)
			read := http1.NewReader(theirs)
			r, err := read.Response()
			if err != nil || r.Status != request.status || !r.Close {
				t.Fatalf("got response %v and error %v, want status %d and a close", r, err, request.status)
			}
			if _, err := read.Response(); err == nil {
				t.Error("the client got a second response, want the connection to be closed")
			}
		})
	}
}

// Guards against rejected requests that keep a client slot when none is free: the connection is closed behind
// the rejection, as it is behind the answer to a job, so that connections in the listener's queue get a turn.
func TestRejectionWithoutAFreeSlotEndsTheConnection(t *testing.T) {
	w := newHarness(t, minDescriptors, "r1")
	runScenario(t, w, "c1 send GET /_health\nc1 expect 200")
	defer w.node.takeFreeSlots()()
	runScenario(t, w, "c1 send GET /post/7\nc1 expect 405 close jobs come by POST\nc1 expect end")
}

// sendAgainAtOnce sends a request, and the same again as soon as it is answered, on a new connection when the
// node has closed the old one. It calls answered once, after the first answer, and returns once stopped is
// closed.
func sendAgainAtOnce(addr, request string, answered func(), stopped <-chan struct{}) {
	var first sync.Once
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		ended := make(chan struct{})
		go func() {
			select {
			case <-stopped:
				conn.Close() // wakes a read of this connection
			case <-ended:
			}
		}()
		for read := http1.NewReader(conn); err == nil; {
			if _, err = io.WriteString(conn, request); err == nil {
				_, err = read.Response()
				first.Do(answered)
			}
		}
		close(ended)
		conn.Close()
		select {
		case <-stopped:
			return
		default:
		}
	}
}

// Guards against bad clients that take all slots for clients for as long as they go on: their requests are
// rejected, they send again at once, and established clients rest in the other slots. A job on a new
// connection has to be served all the same.
func TestClientsThatSendAgainAtOnceLeaveSlotsForJobs(t *testing.T) {
	for name, request := range requestKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newHarness(t, minDescriptors, "r1")
			addr, slots := w.node.Addr().String(), cap(w.node.clientSlots)
			bad := slots / 2
			for range slots - bad {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				write(t, conn, staleCallback) // makes the client an established one
				if _, err := http1.NewReader(conn).Response(); err != nil {
					t.Fatal(err)
				}
			}
			stopped := make(chan struct{})
			var clients sync.WaitGroup
			defer clients.Wait()
			defer close(stopped)
			var answered sync.WaitGroup
			for range bad {
				answered.Add(1)
				clients.Go(func() { sendAgainAtOnce(addr, request.text, answered.Done, stopped) })
			}
			answered.Wait()
			runScenario(t, w, `
				c1 send job post a1 | Connection: close || work
				r1 expect POST /post/7?a=b txn=a1 key=k body=work
				r1 send 202 OK
				back send POST /callback || {"id":"a1","from":"r1","state":"done","result":"yes"}
				back expect 204
				c1 expect 200 close yes`)
		})
	}
}
