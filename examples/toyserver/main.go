// Command toyserver fakes all that a scheduler needs around it: discovery, and one worker that runs a job by
// sleeping. It is for trying dahliaford by hand.
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
	scheduler := flag.String("scheduler", "127.0.0.1:8443", "where the worker reports its jobs")
	run := flag.Duration("run", 300*time.Millisecond, "how long a job runs")
	flag.Parse()
	const uid = "s-00000001"
	script := func(fakes.Job) fakes.Script { return fakes.Script{RunTime: *run} }
	logEvent := func(e history.Event) { log.Print("worker: ", e.Kind, " ", e.ID) }
	fakeWorker, err := fakes.NewWorker(uid, *worker, func() string { return *scheduler }, script, logEvent)
	if err != nil {
		log.Fatal(err)
	}
	fakeDiscovery, err := fakes.NewDiscovery(*discovery, endpoints.Endpoint{UID: uid,
		Addr: fakeWorker.Addr(), Zone: "sousse", Kind: "fast-2c", State: "ready"})
	if err != nil {
		log.Fatal(err)
	}
	log.Print("discovery on ", fakeDiscovery.Addr(), ", a worker on ", fakeWorker.Addr())
	select {} // until it is interrupted
}
