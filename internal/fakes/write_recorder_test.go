package fakes

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A WriteRecorder must forward requests and responses unchanged, and record each keyed request at the time at
// which the client wrote its last byte.
func TestWriteRecorder(t *testing.T) {
	const key, pause = "k1", 100 * time.Millisecond
	scheduler := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // the test compares the body, so an error shows
		_, _ = w.Write(body)
	}))
	defer scheduler.Close()
	recorder, err := NewWriteRecorder("127.0.0.1:0", scheduler.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer recorder.Close()
	conn, err := net.Dial("tcp", recorder.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nIdempotency-Key: "+
		key+"\r\nConnection: close\r\n\r\nwo"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	writtenAfter := time.Now()
	if _, err := io.WriteString(conn, "rk"); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil || !strings.HasSuffix(string(response), "\r\n\r\nwork") {
		t.Errorf("got response %q with error %v, want the request's body", response, err)
	}
	writes := recorder.Writes()
	if len(writes) != 1 || writes[0].Key != key || writes[0].At.Before(writtenAfter) {
		t.Errorf("got recorded writes %v, want key %s once, after the last byte", writes, key)
	}
}
