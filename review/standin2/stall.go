package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stall"] = runStall }

// runStall lets bad clients stop in the middle of a request and stay. Good clients connect meanwhile and hand
// in short jobs.
func runStall(t *trial) error {
	s, err := t.newScheduler("n1", settings(), limits(64, 256))
	if err != nil {
		return err
	}
	_, targets, err := t.startWorkers(s.addr, "s-0badcafe", "s-5be2a07c", "s-77aa0102")
	if err != nil {
		return err
	}
	d, err := t.newDiscovery("d1", 41, 0, targets...)
	if err != nil {
		return err
	}
	if err := s.run(d.addr(), nil); err != nil {
		return err
	}
	var group sync.WaitGroup
	for range 200 {
		group.Go(func() { t.stoppingClient(s.addr) })
	}
	time.Sleep(700 * time.Millisecond)
	for range 10 {
		group.Go(func() { t.singleClient(s.addr, newRequest(3*time.Second, 300)) })
	}
	group.Wait()
	return nil
}

// stoppingClient asks for the health, begins a second request, and stops in the middle of it. Without the
// disruption it leaves after the health. A client that is not served within 0.6 s leaves, too.
func (t *trial) stoppingClient(addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(600 * time.Millisecond))
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if !t.trouble {
		return
	}
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, "POST /post-reading/17 HTTP/1.1\r\nHost: "+addr+"\r\n"); err != nil {
		return
	}
	began := time.Now()
	_, _ = io.Copy(io.Discard, reader)
	t.note("a client that had stopped in its request was let go after %.3f s", time.Since(began).Seconds())
}
