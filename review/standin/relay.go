package main

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
)

// newRelay starts a relay to an address. It changes nothing, and records the first line of each message and
// the lines with the id and with Retry-After.
func newRelay(r *rig, to string) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.check(err, "start the relay")
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go relayConn(r, client, to)
		}
	}()
	return listener.Addr().String()
}

// relayConn passes the bytes of one connection on in both directions until both have ended.
func relayConn(r *rig, client net.Conn, to string) {
	defer client.Close()
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	var directions sync.WaitGroup
	pass := func(from, to net.Conn, who string) {
		lines, written := io.Pipe()
		directions.Go(func() { recordLines(r, lines, who) })
		_, _ = io.Copy(to, io.TeeReader(from, written))
		_ = written.Close()
		if half, ok := to.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
	}
	directions.Go(func() { pass(client, server, "client sends") })
	directions.Go(func() { pass(server, client, "scheduler answers") })
	directions.Wait()
}

// recordLines records the lines of a message that show what it is.
func recordLines(r *rig, from io.Reader, who string) {
	for lines := bufio.NewScanner(from); lines.Scan(); {
		line := lines.Text()
		for _, start := range []string{"POST ", "HTTP/1.1 ", "X-Txn:", "Retry-After:"} {
			if strings.HasPrefix(line, start) {
				r.logf("%s: %s", who, line)
			}
		}
	}
	_, _ = io.Copy(io.Discard, from)
}
