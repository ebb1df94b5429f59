package testcluster

import (
	"strings"
	"sync/atomic"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
)

const (
	// unreachableAddr is the address that workers send callbacks to before the scheduler has started. Nothing
	// listens there.
	unreachableAddr   = "127.0.0.1:1"
	restartRetryDelay = 50 * time.Millisecond
)

// deployment is one scheduler process with a fake discovery service and fake workers. No other scheduler uses
// these workers, and they send their callbacks to this scheduler.
type deployment struct {
	*Process
	program, folder, name string
	workers               []*fakes.Worker
	endpoints             []endpoints.Endpoint // discovery's entry of each worker, in the state Ready
	discovery             *fakes.Discovery
}

// deploymentOptions are the parameters of startDeployment.
type deploymentOptions struct {
	program, folder, name string
	// endpoints has an entry for each worker to start. The caller sets UID and Cell of each entry;
	// startDeployment fills in the other fields.
	endpoints []endpoints.Endpoint
	script    func(worker int) scriptFor
	recorder  fakes.Recorder
}

// startDeployment starts the workers, the discovery service and the scheduler, in this order. After an error
// it stops what it has started.
func startDeployment(o deploymentOptions) (d *deployment, err error) {
	d = &deployment{program: o.program, folder: o.folder, name: o.name}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	var addr atomic.Value // address of the scheduler, which is known only after the workers have started
	addr.Store(unreachableAddr)
	scheduler := func() string { return addr.Load().(string) }
	for i, entry := range o.endpoints {
		w, err := fakes.NewWorker(entry.UID, anyPortAddr, scheduler, o.script(i), o.recorder)
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
		entry.Addr, entry.Zone, entry.Kind, entry.State = w.Addr(), defaultZone, workerKind, endpoints.Ready
		d.endpoints = append(d.endpoints, entry)
	}
	if d.discovery, err = fakes.NewDiscovery(anyPortAddr, d.endpoints...); err != nil {
		return d, err
	}
	if d.Process, err = Start(o.program, o.folder, o.name, d.discovery.Addr()); err != nil {
		return d, err
	}
	addr.Store(d.Addr)
	return d, nil
}

// restart starts the scheduler again, after its process has exited, at its previous address. It retries while
// the port is in use, as another process may have it as the local port of an outgoing connection.
func (d *deployment) restart() error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(restartRetryDelay) {
		p, err := startOnAddr(d.program, d.folder, d.name, d.Addr, d.discovery.Addr())
		if err == nil {
			d.Process = p
			return nil
		}
		// Only the scheduler's log, which err contains, says why the start failed.
		if !strings.Contains(err.Error(), "address already in use") || time.Now().After(deadline) {
			return err
		}
	}
}

// close stops the scheduler, then the workers, then the discovery service.
func (d *deployment) close() {
	if d.Process != nil {
		d.Kill()
	}
	for _, w := range d.workers {
		w.Close()
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
}
