// Package fakes has what a scheduler needs around it, for tests, drills and trying by
// hand: scripted workers, discovery, and clients. They speak the protocol as real ones do,
// do wrong what their script says, and tell a recorder what they saw. Loopback only.
package fakes

import (
	"net"
	"sync"
	"time"

	"dahliaford/internal/history"
	"dahliaford/internal/http1"
)

// server is a listener and its connections, all of which it gives back in close.
type server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	running  sync.WaitGroup
}

func (s *server) listen(addr string, serve func(net.Conn)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.serveOn(l, serve)
	return nil
}

func (s *server) serveOn(l net.Listener, serve func(net.Conn)) {
	s.listener, s.conns = l, map[net.Conn]bool{}
	s.running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if !s.track(conn) {
				conn.Close()
				return
			}
			s.running.Go(func() {
				defer s.untrack(conn)
				serve(conn)
			})
		}
	})
}

// Server runs a stand-in of another package on a listener.
type Server struct{ server }

// Serve runs serve for each connection that comes to a listener, which the server then owns.
// A connection is closed when serve returns.
func Serve(l net.Listener, serve func(net.Conn)) *Server {
	s := &Server{}
	s.serveOn(l, serve)
	return s
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.addr() }

// Close stops listening, resets all connections and waits until each serve has returned.
func (s *Server) Close() { s.close() }

// ResetConn ends a connection as a dying process does.
func ResetConn(conn net.Conn) { resetConn(conn) }

func (s *server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = true
	}
	return !s.closed
}

func (s *server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// resetAll breaks all connections as a dying process does.
func (s *server) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			c.SetLinger(0)
		}
		conn.Close()
	}
}

// close stops listening, breaks what is open and waits for all that runs.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.listener.Close()
	s.resetAll()
	s.running.Wait()
}

func (s *server) addr() string { return s.listener.Addr().String() }

func resetConn(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	conn.Close()
}

// exchange makes one request on a connection of its own. The deadline is absolute.
func exchange(addr, method, target string, fields []http1.Field, body []byte,
	deadline time.Time) (*http1.Response, error) {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(deadline)
	fields = append([]http1.Field{{Name: "Host", Value: addr}}, fields...)
	if _, err := conn.Write(http1.AppendRequest(nil, method, target, fields, body)); err != nil {
		return nil, err
	}
	return http1.NewReader(conn).Response()
}

// Recorder takes what a stand-in saw. It must be safe for many goroutines.
type Recorder func(history.Event)

func (r Recorder) record(e history.Event) {
	if r != nil {
		e.At = time.Now()
		r(e)
	}
}
