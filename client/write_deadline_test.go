package client

import (
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliaford/internal/http1"
)

// keyedJob is a job of a class whose repeats every worker drops during the window of windowClient.
var keyedJob = Job{Class: "keyed", Key: "k"}

// windowClient returns a client with one class of the effect Anywhere and one connection to each scheduler.
func windowClient(t *testing.T, window time.Duration, connectRate float64, o Observer,
	schedulers ...string) *Client {
	t.Helper()
	c, err := New(Config{Schedulers: schedulers, Tenant: "sahel", Seed: 1, RetryBudget: 1, MaxConnections: 1,
		ConnectRate: connectRate, Observer: o,
		Classes: map[string]Class{"keyed": {Deadline: 20 * time.Second, Effect: Anywhere, Window: window}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// connectObserver calls onConnect after each dial.
type connectObserver struct {
	noObserver
	onConnect func(scheduler string)
}

func (o connectObserver) Connected(scheduler string, _ error) { o.onConnect(scheduler) }

// newRequestPair starts two scripted schedulers. The first request of all is reset without a response, so
// that its job may have run. onFirst is called before that, with the indexes of the scheduler that received
// the request and of the other one. All later requests are served.
func newRequestPair(t *testing.T, onFirst func(first, other int)) (pair [2]*scriptedScheduler) {
	t.Helper()
	firstRequest := make(chan bool, 1)
	firstRequest <- true
	for i := range pair {
		pair[i] = startScripted(t, func(int64) (string, afterResponse) {
			select {
			case <-firstRequest:
				onFirst(i, 1-i)
				return "", resetConnection
			default:
				return served, keepOpen
			}
		})
	}
	return pair
}

func received(pair [2]*scriptedScheduler) int64 {
	return pair[0].received.Load() + pair[1].received.Load()
}

// A repeat whose connection is only available after the deduplication window must not be written: the workers
// have forgotten the key by then, and the job would run twice. With a long window the same repeat is written.
func TestRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	const (
		wait                    = 600 * time.Millisecond // how long the repeat waits for its connection
		shortWindow, longWindow = 300 * time.Millisecond, 15 * time.Second
	)
	for _, c := range []struct {
		name        string
		connectRate float64 // new connections per second; 0 means the default
		// delay makes the repeat wait for its connection to the other scheduler, for the time wait.
		delay     func(c *Client, other int)
		slowDials bool // each dial but the first takes the time wait
	}{
		{"for a free slot", 0, func(c *Client, other int) {
			c.pool.semaphores[other] <- struct{}{}
			time.AfterFunc(wait, func() { <-c.pool.semaphores[other] })
		}, false},
		{"for the rate of new connections", 1 / wait.Seconds(), func(*Client, int) {}, false},
		{"for the dial", 0, func(*Client, int) {}, true},
	} {
		for _, window := range []time.Duration{shortWindow, longWindow} {
			t.Run(c.name+", window "+window.String(), func(t *testing.T) {
				t.Parallel()
				var client *Client
				pair := newRequestPair(t, func(_, other int) { c.delay(client, other) })
				dials := 0 // the job's attempts follow one another
				observer := connectObserver{onConnect: func(string) {
					if dials++; dials > 1 && c.slowDials {
						time.Sleep(wait)
					}
				}}
				client = windowClient(t, window, c.connectRate, observer, pair[0].Addr().String(),
					pair[1].Addr().String())
				start := time.Now()
				_, err := client.Do(t.Context(), keyedJob)
				took := time.Since(start)
				wantVerdict, wantReceived := "unknown", int64(1)
				if window == longWindow {
					wantVerdict, wantReceived = "served", 2
				}
				if got := received(pair); Verdict(err) != wantVerdict || got != wantReceived {
					t.Errorf("got error %v and %d requests after %v, want verdict %s and %d requests", err, got, took,
						wantVerdict, wantReceived)
				}
			})
		}
	}
}

// The window counts from the time at which the first attempt was sent, as the operators' pages say. The time
// that this attempt waited for its connection must not shorten the window.
func TestWindowCountsFromTheFirstWrite(t *testing.T) {
	const wait, window = 3 * time.Second, 2 * time.Second
	pair := newRequestPair(t, func(int, int) {})
	client := windowClient(t, window, 0, noObserver{}, pair[0].Addr().String(), pair[1].Addr().String())
	for i := range pair {
		client.pool.semaphores[i] <- struct{}{}
		time.AfterFunc(wait, func() { <-client.pool.semaphores[i] })
	}
	if _, err := client.Do(t.Context(), keyedJob); Verdict(err) != "served" || received(pair) != 2 {
		t.Errorf("first attempt sent after %v, window %v: got error %v and %d requests, want served and 2", wait,
			window, err, received(pair))
	}
}

// A job whose caller cancels while it gets its connection must not be written: the scheduler would start an
// attempt for a client that has gone.
func TestCancelledJobIsNotWritten(t *testing.T) {
	pair := newRequestPair(t, func(int, int) {})
	ctx, cancel := context.WithCancel(t.Context())
	observer := connectObserver{onConnect: func(string) { cancel() }}
	client := windowClient(t, time.Second, 0, observer, pair[0].Addr().String(), pair[1].Addr().String())
	_, err := client.Do(ctx, keyedJob)
	if Verdict(err) != "refused" || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled during the dial: got error %v, want verdict refused with the cancellation", err)
	}
	// A request that was written is received soon after.
	time.Sleep(200 * time.Millisecond)
	if got := received(pair); got != 0 {
		t.Errorf("cancelled during the dial: got %d requests, want 0", got)
	}
}

// A repeat whose last byte cannot be written before the end of the deduplication window must stay incomplete:
// a scheduler that reads it later must not get a whole request.
func TestRepeatIsNotCompletedAfterItsWindow(t *testing.T) {
	const window, pause = 400 * time.Millisecond, 2 * time.Second
	slow := listenWithSmallBuffers(t)
	complete := make(chan bool, 1)
	go func() {
		conn, err := slow.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		time.Sleep(pause) // the scheduler reads nothing until the window is over
		_, err = http1.NewReader(conn).Request()
		complete <- err == nil
	}()
	var client *Client
	pair := newRequestPair(t, func(_, other int) {
		connection, err := net.Dial("tcp", slow.Addr().String())
		if err != nil {
			t.Error(err)
			return
		}
		// With a small buffer the write of the job blocks. SetWriteBuffer cannot fail on an open socket.
		_ = connection.(*net.TCPConn).SetWriteBuffer(smallBuffer)
		client.pool.mu.Lock()
		defer client.pool.mu.Unlock()
		client.pool.idle[other] = []*conn{{Conn: connection, reader: http1.NewReader(connection),
			idleSince: time.Now()}}
	})
	client = windowClient(t, window, 0, noObserver{}, pair[0].Addr().String(), pair[1].Addr().String())
	job := keyedJob
	job.Body = []byte(strings.Repeat("x", MaxBodyBytes))
	if _, err := client.Do(t.Context(), job); Verdict(err) != "unknown" {
		t.Errorf("got error %v, want verdict unknown", err)
	}
	if <-complete {
		t.Errorf("the scheduler read the whole repeat %v after it was sent, want it incomplete after %v", pause,
			window)
	}
}

// smallBuffer is the size of a socket buffer that holds only a part of a job of MaxBodyBytes, in bytes.
const smallBuffer = 4 << 10

// listenWithSmallBuffers returns a listener on a free local port whose connections have small receive
// buffers.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}
