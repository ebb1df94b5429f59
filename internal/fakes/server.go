// Package fakes has fake workers, a fake discovery service, fake clients and a recorder of what clients
// write, for running a scheduler in tests, in fault drills and by hand. They speak the real protocol, inject
// the faults that their scripts ask for, and record the events that they observe. They listen on loopback
// addresses only.
package fakes

import (
	"net"
	"sync"
)

// server is a listener with its accepted connections. Its method close closes the listener and all
// connections.
type server struct {
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	running  sync.WaitGroup
}

// listen opens a listener at an address and calls serve for each of its connections.
func (s *server) listen(addr string, serve func(net.Conn)) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.serveOn(l, serve)
	return nil
}

// serveOn calls serve for each connection of a listener, and closes the connection when serve returns.
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

// track registers a connection, so that resetAll and close reset the connection. If the server is closed,
// track registers nothing and reports false.
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

// resetAll resets all open connections. The server still accepts new connections.
func (s *server) resetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		ResetConn(conn)
	}
}

// close closes the listener, resets all connections and waits until every call of serve has returned.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.listener.Close()
	s.resetAll()
	s.running.Wait()
}

func (s *server) addr() string { return s.listener.Addr().String() }

// Server serves the connections of a listener. Other packages build their own fakes with it.
type Server struct{ server }

// Serve returns a Server that calls serve for each connection of a listener and closes the connection when
// serve returns. The Server takes over the listener.
func Serve(l net.Listener, serve func(net.Conn)) *Server {
	s := &Server{}
	s.serveOn(l, serve)
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr() }

// Close closes the listener, resets all connections and waits until every call of serve has returned.
func (s *Server) Close() { s.close() }

// ResetConn closes a connection with a TCP reset, as the system does for the connections of a process that
// dies.
func ResetConn(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // SetLinger fails only if the connection is already closed
	}
	conn.Close()
}
