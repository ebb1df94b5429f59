package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const (
	keyedWindow   = 5 * time.Second
	keyedDeadline = 20 * time.Second
	keyedRun      = 6 * time.Second
)

// keyStore is what the workers of the whole fleet know of keys: each key is remembered for the window,
// counted from the arrival that was not a repeat.
type keyStore struct {
	mu      sync.Mutex
	since   map[string]time.Time
	applied map[string]int
}

// apply applies a job unless it is a repeat within the window; it returns how often the key has been applied.
func (k *keyStore) apply(key string) (times int, repeat bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, known := k.since[key]; known && time.Since(at) < keyedWindow {
		return k.applied[key], true
	}
	k.since[key] = time.Now()
	k.applied[key]++
	return k.applied[key], false
}

// keyedCase hands in one job of a keyed class whose workers all drop repeats. With the disruption the worker
// that runs the job reports in the end that it failed.
func keyedCase(r *rig, trouble bool) bool {
	addr := r.freeAddr()
	keys := &keyStore{since: map[string]time.Time{}, applied: map[string]int{}}
	run := func(w *worker, j *job) string {
		times, repeat := keys.apply(j.key)
		w.tell(j, "started")
		if repeat {
			r.logf("worker %s: job %s is a repeat of key %q and is dropped", w.uid, j.id, j.key)
			return "done"
		}
		r.logf("worker %s: job %s APPLIES key %q, time %d", w.uid, j.id, j.key, times)
		if !j.sleep(keyedRun) {
			return ""
		}
		if trouble && times == 1 {
			return "failed"
		}
		return "done"
	}
	var targets []target
	for i := range 6 {
		w := newWorker(r, fmt.Sprintf("s-%08x", i+1), func() string { return addr }, nil)
		w.run = func(j *job) string { return run(w, j) }
		targets = append(targets, w.target(i))
	}
	d := newDiscovery(r, targets...)
	p := r.startScheduler("n1", addr, config("n1", addr, d.addr, 0, 1,
		class("district-batch", "deduplicated", "all", 500000, int(keyedDeadline/time.Microsecond),
			int(keyedWindow/time.Microsecond))))
	r.send(newRelay(r, addr), "k-17")
	r.copyLog(p)
	keys.mu.Lock()
	defer keys.mu.Unlock()
	r.logf("key k-17 was applied %d times", keys.applied["k-17"])
	if keys.applied["k-17"] == 0 {
		r.fail("no worker got the job")
	}
	return keys.applied["k-17"] == 1
}

// send hands in a keyed job with the project's own client command.
func (r *rig) send(addr, key string) {
	raw, err := json.Marshal(map[string]any{"schedulers": []string{addr}, "tenant": "sahel", "budget": 0.1,
		"classes": map[string]any{"district-batch": map[string]any{"effect": "anywhere", "tries": 3,
			"deadline_ms": keyedDeadline.Milliseconds(), "window_ms": keyedWindow.Milliseconds()}}})
	r.check(err, "encode the configuration of the client")
	path := filepath.Join(r.folder, "client.json")
	r.check(os.WriteFile(path, raw, 0o600), "write the configuration of the client")
	cmd := exec.Command(filepath.Join(r.root, "bin", "dahliaford"), "send", "--config", path,
		"--class", "district-batch", "--object", "17", "--key", key, "--data", "rebuild 17")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	r.logf("client: dahliaford send, class district-batch, key %q", key)
	r.check(cmd.Start(), "start the client")
	limit := time.AfterFunc(keyedDeadline+10*time.Second, func() { _ = cmd.Process.Kill() })
	defer limit.Stop()
	err = cmd.Wait()
	r.logf("client: ended with %v, output %q", err, out.String())
}
