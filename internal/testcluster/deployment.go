package testcluster

import (
	"strings"
	"sync/atomic"
	"time"

	"dahliaford/internal/endpoints"
	"dahliaford/internal/fakes"
)

const (
	// nowhere is where callbacks go before the scheduler has started.
	nowhere           = "127.0.0.1:1"
	restartRetryDelay = 50 * time.Millisecond
)

// deployment is one scheduler with a discovery and workers of its own, which call it back.
type deployment struct {
	*Process
	program, folder, name string
	workers               []*fakes.Worker
	endpoints             []endpoints.Endpoint // of the workers, ready
	discovery             *fakes.Discovery
}

// deploymentOptions says how a deployment is started.
type deploymentOptions struct {
	program, folder, name string
	// endpoints are the workers; of each, UID and Cell are given, and the rest is filled in.
	endpoints []endpoints.Endpoint
	script    func(worker int) scriptFor
	recorder  fakes.Recorder
}

// startDeployment starts a deployment.
func startDeployment(o deploymentOptions) (d *deployment, err error) {
	d = &deployment{program: o.program, folder: o.folder, name: o.name}
	defer func() {
		if err != nil {
			d.close()
		}
	}()
	var addr atomic.Value // of the scheduler, which starts after its workers
	addr.Store(nowhere)
	scheduler := func() string { return addr.Load().(string) }
	for i, entry := range o.endpoints {
		w, err := fakes.NewWorker(entry.UID, anyPort, scheduler, o.script(i), o.recorder)
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
		entry.Addr, entry.Zone, entry.Kind, entry.State = w.Addr(), defaultZone, kind, endpoints.Ready
		d.endpoints = append(d.endpoints, entry)
	}
	if d.discovery, err = fakes.NewDiscovery(anyPort, d.endpoints...); err != nil {
		return d, err
	}
	if d.Process, err = Start(o.program, o.folder, o.name, d.discovery.Addr()); err != nil {
		return d, err
	}
	addr.Store(d.Addr)
	return d, nil
}

// restart starts a scheduler that has exited, at the address that it had. That may be in use for a moment,
// as the local end of somebody's connection.
func (d *deployment) restart() error {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(restartRetryDelay) {
		p, err := startAt(d.program, d.folder, d.name, d.Addr, d.discovery.Addr())
		if err == nil {
			d.Process = p
			return nil
		}
		// The reason stands in the scheduler's log only.
		if !strings.Contains(err.Error(), "address already in use") || time.Now().After(deadline) {
			return err
		}
	}
}

// close stops all of it, the scheduler first.
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
