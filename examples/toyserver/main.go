// Command toyserver stands in for all that a scheduler needs around it: discovery and
// one region, which runs a job by sleeping. It is for trying dahliaford by hand.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net"
	"strings"
	"time"

	"dahliaford/internal/http1"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	region := flag.String("region", "127.0.0.1:9001", "where the region listens")
	scheduler := flag.String("scheduler", "127.0.0.1:8443", "where the region tells of its jobs")
	run := flag.Duration("run", 300*time.Millisecond, "how long a job runs")
	flag.Parse()
	toy := &toy{region: *region, scheduler: *scheduler, run: *run}
	go listen(*discovery, toy.discover)
	listen(*region, toy.work)
}

type toy struct {
	region, scheduler string
	run               time.Duration
}

// listen passes every request on a connection to serve, until that says to stop.
func listen(addr string, serve func(net.Conn, *http1.Request) bool) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.Fatal(err)
	}
	log.Print("listening on ", l.Addr())
	for {
		conn, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer conn.Close()
			for read := http1.NewReader(conn); ; {
				r, err := read.Request()
				if err != nil || !serve(conn, r) {
					return
				}
			}
		}()
	}
}

// discover answers a watch: one object, then a blank line every 2 s.
func (t *toy) discover(conn net.Conn, r *http1.Request) bool {
	log.Print("discovery: ", r.Target)
	line := fmt.Sprintf(`{"rev":1,"all":true,"targets":[{"uid":"s-00000001","endpoint":%q,"az":"sousse",`+
		`"model":"fast-2c","pod_group":0,"state":"ready","capacity_hint":1.0,"boot_ms":0}]}`+"\n", t.region)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, err := fmt.Fprint(conn, head); err == nil; time.Sleep(2 * time.Second) {
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line)
		line = "\n"
	}
	return false
}

// work takes a job, or drops one; a job that runs is not interrupted.
func (t *toy) work(conn net.Conn, r *http1.Request) bool {
	id := r.Header.Get("X-Txn")
	log.Print("region: ", r.Method, " ", r.Target, " ", id)
	status := 202
	if r.Method == "DELETE" {
		status = 200
	}
	_, err := conn.Write(http1.AppendResponse(nil, status, nil, nil))
	if status == 202 {
		go func() {
			t.tell(map[string]string{"id": id, "from": "s-00000001", "state": "started"})
			time.Sleep(t.run)
			text := strings.ToUpper(string(r.Body))
			t.tell(map[string]string{"id": id, "from": "s-00000001", "state": "done", "result": text})
		}()
	}
	return err == nil
}

// tell calls the scheduler back, once.
func (t *toy) tell(news map[string]string) {
	conn, err := net.Dial("tcp", t.scheduler)
	if err != nil {
		log.Print("callback: ", err)
		return
	}
	defer conn.Close()
	body, err := json.Marshal(news)
	if err != nil {
		log.Fatal(err)
	}
	fields := []http1.Field{{Name: "Host", Value: t.scheduler}}
	if _, err := conn.Write(http1.AppendRequest(nil, "POST", "/callback", fields, body)); err != nil {
		log.Print("callback: ", err)
		return
	}
	if r, err := http1.NewReader(conn).Response(); err != nil || r.Status != 204 {
		log.Print("callback: not taken: ", err)
	}
}
