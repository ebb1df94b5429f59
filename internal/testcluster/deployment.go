package testcluster

import (
	"strings"
	"sync/atomic"
	"time"

	"dahliaford/internal/fakes"
)

// deployment is one scheduler with its discovery and its workers, which call it back.
type deployment struct {
	*Process
	bin, folder, name string
	workers           []*fakes.Worker
	endpoints         []fakes.Endpoint // of the workers, ready
	discovery         *fakes.Discovery
}

// startDeployment starts a site with a worker for each line: UID and Group are told, the rest is
// filled in. plan gives what the k-th worker does.
func startDeployment(bin, folder, name string, lines []fakes.Endpoint,
	plan func(k int) func(fakes.Job) fakes.Script,
	rec fakes.Recorder) (s *deployment, err error) {
	s = &deployment{bin: bin, folder: folder, name: name}
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	var addr atomic.Value // of the scheduler, which starts after its workers
	addr.Store("127.0.0.1:1")
	for k, line := range lines {
		r, err := fakes.NewWorker(line.UID, "127.0.0.1:0", func() string { return addr.Load().(string) },
			plan(k), rec)
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, r)
		line.Addr, line.Zone, line.Kind, line.State = r.Addr(), "north", "m1", "ready"
		s.endpoints = append(s.endpoints, line)
	}
	if s.discovery, err = fakes.NewDiscovery("127.0.0.1:0", s.endpoints...); err != nil {
		return s, err
	}
	if s.Process, err = Start(bin, folder, name, s.discovery.Addr()); err != nil {
		return s, err
	}
	addr.Store(s.Addr)
	return s, nil
}

// restart starts the scheduler anew, at the address that it had. That may be in use for a
// moment, as the near end of somebody's connection.
func (s *deployment) restart() error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		p, err := startAt(s.bin, s.folder, s.name, s.Addr, s.discovery.Addr())
		if err == nil {
			s.Process = p
			return nil
		}
		if !strings.Contains(err.Error(), "address already in use") || time.Now().After(end) {
			return err
		}
	}
}

// close ends all of it, the scheduler first.
func (s *deployment) close() {
	if s.Process != nil {
		s.Kill()
	}
	for _, r := range s.workers {
		r.Close()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
}
