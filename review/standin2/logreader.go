package main

import (
	"bufio"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["logreader"] = runLogReader }

// runLogReader ends the process that reads the scheduler's log, while jobs run. Then a bad client sends a
// request without an id, on which the scheduler writes a line.
func runLogReader(t *trial) error {
	s, err := t.newScheduler("n1", settings(), limits(192, 1024))
	if err != nil {
		return err
	}
	_, targets, err := t.startWorkers(s.addr, "s-0badcafe", "s-5be2a07c")
	if err != nil {
		return err
	}
	d, err := t.newDiscovery("d1", 41, 0, targets...)
	if err != nil {
		return err
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	reader, err := t.startLogReader(read)
	if err != nil {
		return err
	}
	if err := s.run(d.addr(), write); err != nil {
		return err
	}
	// From here on only the scheduler has the writing end, and only the reader the reading end.
	if err := write.Close(); err != nil {
		return err
	}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() { t.singleClient(s.addr, newRequest(5*time.Second, 1500)) })
	}
	time.Sleep(500 * time.Millisecond)
	if t.trouble {
		t.note("the reader of the log is killed")
		reader.kill()
	}
	t.badClient(s.addr)
	group.Wait()
	if !s.running() {
		t.breaks("the scheduler has ended by itself: %v", s.cmd.ProcessState)
	}
	return nil
}

// startLogReader starts a process that writes to a file what it reads.
func (t *trial) startLogReader(read *os.File) (*process, error) {
	file, err := os.Create(filepath.Join(t.folder, "log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("cat")
	cmd.Stdin, cmd.Stdout = read, file
	p, err := t.begin("log reader", cmd)
	_, _ = read.Close(), file.Close() // The process has its own descriptors.
	return p, err
}

// badClient sends a request without an id, which is owed an error.
func (t *trial) badClient(addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.note("bad client could not connect: %v", err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, _ = io.WriteString(conn, "POST /post-reading/17 HTTP/1.1\r\nHost: "+addr+"\r\nX-Lane: post-reading\r\n"+
		"X-Org: sahel\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	t.note("bad client got %q, error %v", line, err)
}
