// Package fakes has what a scheduler needs around it, for tests, drills and trying by hand: scripted workers,
// discovery, and clients. They speak the protocol as real ones do, misbehave as their script says, and
// record what they saw. They listen on loopback only.
package fakes

import (
	"net"
	"sync"
)

// server is a listener with its connections, all of which close gives back.
type server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	running  sync.WaitGroup
}

// listen opens a listener at an address and serves its connections.
func (s *server) listen(addr string, serve func(net.Conn)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.serveOn(l, serve)
	return nil
}

// serveOn calls serve for each connection of a listener, and closes the connection when it returns.
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

// track adds a connection to those that close resets. It reports false once the server is closed.
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

// resetAll resets all connections. New ones are still accepted.
func (s *server) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		ResetConn(conn)
	}
}

// close stops listening, resets all connections and waits until each serve has returned.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.listener.Close()
	s.resetAll()
	s.running.Wait()
}

func (s *server) addr() string { return s.listener.Addr().String() }

// Server serves the connections of a listener, for fakes of other packages.
type Server struct{ server }

// Serve calls serve for each connection of a listener, which the server then owns. A connection is closed
// when serve returns.
func Serve(l net.Listener, serve func(net.Conn)) *Server {
	s := &Server{}
	s.serveOn(l, serve)
	return s
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.addr() }

// Close stops listening, resets all connections and waits until each serve has returned.
func (s *Server) Close() { s.close() }

// ResetConn closes a connection with a reset, as the death of its process does.
func ResetConn(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // it fails on a closed connection alone
	}
	conn.Close()
}
