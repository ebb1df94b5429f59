// Command toyserver stands in for all that a scheduler needs around it: discovery and
// one worker, which runs a job by sleeping. It is for trying dahliaford by hand.
package main

import (
	"flag"
	"log"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
	"dahliaford/internal/history"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "where discovery listens")
	worker := flag.String("worker", "127.0.0.1:9001", "where the worker listens")
	scheduler := flag.String("scheduler", "127.0.0.1:8443", "where the worker tells of its jobs")
	run := flag.Duration("run", 300*time.Millisecond, "how long a job runs")
	flag.Parse()
	const uid = "s-00000001"
	plan := func(fakes.Job) fakes.Script { return fakes.Script{RunTime: *run} }
	said := func(e history.Event) { log.Print("worker: ", e.Kind, " ", e.ID) }
	r, err := fakes.NewWorker(uid, *worker, func() string { return *scheduler }, plan, said)
	if err != nil {
		log.Fatal(err)
	}
	d, err := fakes.NewDiscovery(*discovery, endpoints.Endpoint{UID: uid, Addr: r.Addr(), Zone: "sousse",
		Kind: "fast-2c", State: "ready"})
	if err != nil {
		log.Fatal(err)
	}
	log.Print("discovery on ", d.Addr(), ", a worker on ", r.Addr())
	select {} // until it is interrupted
}
