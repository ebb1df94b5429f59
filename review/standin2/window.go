package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = runWindow }

const (
	// repeatWindow is how long all workers drop a repeat of a key.
	repeatWindow = 4 * time.Second
	// batchJobs is the number of jobs that the client hands in.
	batchJobs = 40
	// batchConnections is the number of connections that the client may have to each scheduler.
	batchConnections = 4
)

// runWindow lets the project's client hand in a file of keyed jobs at two schedulers, one of which is killed.
func runWindow(t *trial) error {
	memory := &keyMemory{seen: map[string]time.Time{}, runs: map[string][]time.Time{}}
	var workers []*worker
	for _, uid := range []string{"s-0badcafe", "s-5be2a07c"} {
		w := t.newWorker(uid, 8)
		w.window, w.keys = repeatWindow, memory
		workers = append(workers, w)
	}
	var schedulers []*scheduler
	var relays []*relay
	for i := range 2 {
		s, r, err := t.startKeyedScheduler(i, workers)
		if err != nil {
			return err
		}
		schedulers, relays = append(schedulers, s), append(relays, r)
	}
	client, err := t.startBatch(relays)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if t.trouble {
		t.note("scheduler n1 is killed")
		relays[0].stop()
		schedulers[0].kill()
	}
	select {
	case <-client.exited:
	case <-time.After(60 * time.Second):
		return fmt.Errorf("the client does not end")
	}
	t.judgeKeys(memory, relays)
	return nil
}

// startKeyedScheduler starts a scheduler whose class district-batch is deduplicated by all workers, with its
// discovery service and a relay for its clients.
func (t *trial) startKeyedScheduler(index int, workers []*worker) (*scheduler, *relay, error) {
	set := settings()
	set["me"], set["balancers"] = index, 2
	class := set["grades"].([]map[string]any)[1]
	class["dedup_scope"], class["memory_span"] = "all", repeatWindow.Microseconds()
	class["late_worth"], class["slo"] = 0.25, 1200000
	s, err := t.newScheduler(fmt.Sprintf("n%d", index+1), set, limits(192, 1024))
	if err != nil {
		return nil, nil, err
	}
	var targets []target
	for _, w := range workers {
		addr, err := w.listen(s.addr)
		if err != nil {
			return nil, nil, err
		}
		targets = append(targets, ready(w.uid, addr))
	}
	d, err := t.newDiscovery("of "+s.name, 41, 0, targets...)
	if err != nil {
		return nil, nil, err
	}
	if err := s.run(d.addr(), nil); err != nil {
		return nil, nil, err
	}
	r, err := t.newRelay(s.name, s.addr)
	return s, r, err
}

// startBatch starts the project's client with a file of jobs.
func (t *trial) startBatch(relays []*relay) (*process, error) {
	var addrs []string
	for _, r := range relays {
		addrs = append(addrs, r.addr())
	}
	config, err := json.Marshal(map[string]any{"schedulers": addrs, "tenant": "sahel",
		"connections": batchConnections, "classes": map[string]any{"district-batch": map[string]any{
			"deadline_ms": 20000, "effect": "anywhere", "window_ms": repeatWindow.Milliseconds()}}})
	if err != nil {
		return nil, err
	}
	var jobs strings.Builder
	for i := range batchJobs {
		fmt.Fprintf(&jobs, "{\"class\":\"district-batch\",\"key\":\"%s\",\"data\":\"1500\"}\n", batchKey(i))
	}
	configPath, jobsPath := filepath.Join(t.folder, "client.json"), filepath.Join(t.folder, "jobs")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(jobsPath, []byte(jobs.String()), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("bin/dahliaford", "send", "--config", configPath, "--jobs", jobsPath,
		"--at-once", fmt.Sprint(batchJobs))
	cmd.Stdout, cmd.Stderr = t.record, t.record
	return t.begin("client", cmd)
}

func batchKey(i int) string { return fmt.Sprintf("5c0f6e1a2b3d4c59%016x", i) }

// judgeKeys checks that no job was repeated after its window, and that none was applied twice.
func (t *trial) judgeKeys(memory *keyMemory, relays []*relay) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for i := range batchJobs {
		key := batchKey(i)
		times := append(relays[0].times(key), relays[1].times(key)...)
		for _, at := range times[min(1, len(times)):] {
			if after := at.Sub(times[0]); after > repeatWindow+limitSlack {
				t.breaks("the client repeated key %s %.3f s after its first attempt; the window is %v; runs: %d", key,
					after.Seconds(), repeatWindow, len(memory.runs[key]))
			}
		}
		if runs := memory.runs[key]; len(runs) > 1 {
			t.breaks("key %s was applied %d times, %.3f s apart", key, len(runs), runs[1].Sub(runs[0]).Seconds())
		}
	}
}

// keyMemory is what a group of workers remembers of keys.
type keyMemory struct {
	mu   sync.Mutex
	seen map[string]time.Time
	runs map[string][]time.Time
}

// repeated reports whether the group has had the key within the window, and otherwise notes a run of it.
func (k *keyMemory) repeated(key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, seen := k.seen[key]; seen && time.Since(at) < window {
		return true
	}
	k.seen[key] = time.Now()
	k.runs[key] = append(k.runs[key], time.Now())
	return false
}
