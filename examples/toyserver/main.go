// Command toyserver runs fakes of the services that a scheduler depends on: a discovery service, and one
// worker that runs each job by sleeping. With these fakes dahliaford can be tried out by hand.
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
	discovery := flag.String("discovery", "127.0.0.1:8500", "address on which the discovery service listens")
	worker := flag.String("worker", "127.0.0.1:9001", "address on which the worker listens")
	scheduler := flag.String("scheduler", "127.0.0.1:8443", "address to which the worker reports results")
	run := flag.Duration("run", 300*time.Millisecond, "run time of a job")
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
	log.Print("discovery listens on ", fakeDiscovery.Addr(), ", worker listens on ", fakeWorker.Addr())
	select {} // the program runs until a signal ends it
}
