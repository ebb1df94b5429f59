package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// startScheduler starts a fake scheduler whose answer depends on the body of the job: "busy" is refused,
// "broken" fails, "odd" is invalid, and any other body is returned in capitals. The channel seen gets the
// headers of each request, with its path as the header Path.
func startScheduler(t *testing.T) (addr string, seen chan http.Header) {
	t.Helper()
	seen = make(chan http.Header, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Header.Set("Path", r.URL.Path)
		seen <- r.Header
		switch string(body) {
		case "busy":
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(503)
		case "broken":
			w.WriteHeader(500)
		case "odd":
			w.WriteHeader(400)
			_, _ = io.WriteString(w, "no such thing") // a write error means a lost answer, by which the test fails
		default:
			_, _ = io.WriteString(w, strings.ToUpper(string(body)))
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), seen
}

func tempFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o666); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestSendOne(t *testing.T) {
	addr, _ := startScheduler(t)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	config := tempFile(t, `{"schedulers":["`+dead.Addr().String()+`"],"tenant":"sahel",
		"classes":{"post-reading":{"deadline_ms":2000,"effect":"once"}}}`)
	at := "--scheduler=" + addr
	for _, c := range []struct {
		name   string
		args   []string
		in     string
		status int
		out    string
		errs   string // a part of what is printed to standard error
	}{
		{name: "text", args: []string{at, "--class=a", "--data=4211x"}, out: "4211X"},
		{name: "standard input", args: []string{at, "--class=a", "--data=-"}, in: "in", out: "IN"},
		{name: "a file", args: []string{at, "--class=a", "--data=@" + tempFile(t, "filed")}, out: "FILED"},
		{name: "a scheduler takes precedence over the file's", args: []string{"--config=" + config, at,
			"--class=post-reading", "--data=x"}, out: "X"},
		{name: "the configuration by the flag's former name", args: []string{"--desk=" + config, at,
			"--class=post-reading", "--data=x"}, out: "X"},
		{name: "both names of the flag", args: []string{"--desk=/nowhere/x", "--config=" + config, at,
			"--class=post-reading", "--data=x"}, out: "X"},
		{name: "refused", args: []string{at, "--class=a", "--data=busy"}, status: exitTempFail,
			errs: "retry after"},
		{name: "connection refused", args: []string{"--config=" + config, "--class=post-reading"},
			status: exitTempFail, errs: "not sent"},
		{name: "failed", args: []string{at, "--class=a", "--data=broken"}, status: exitFailed, errs: "status 500"},
		{name: "invalid at the scheduler", args: []string{at, "--class=a", "--data=odd"}, status: exitUsage,
			errs: "no such thing"},
		{name: "unknown class", args: []string{"--config=" + config, "--class=b"}, status: exitUsage,
			errs: `unknown class "b"`},
		{name: "no scheduler", args: []string{"--class=a"}, status: exitUsage, errs: "must name a scheduler"},
		{name: "no class", args: []string{at}, status: exitUsage, errs: "--class or --jobs"},
		{name: "both", args: []string{at, "--class=a", "--jobs=x"}, status: exitUsage, errs: "cannot be combined"},
		{name: "no such file", args: []string{at, "--class=a", "--data=@/nowhere/x"}, status: exitUsage,
			errs: "--data: open /nowhere/x"},
		{name: "no such configuration", args: []string{"--config=/nowhere/x", "--class=a"}, status: exitUsage,
			errs: "--config: open"},
		{name: "an invalid configuration", args: []string{"--config=" + tempFile(t, "{}"), "--class=a"},
			status: exitUsage, errs: "classes is required"},
		{name: "too long", args: []string{at, "--class=a", "--data=-"}, in: strings.Repeat("x", 65<<10),
			status: exitUsage, errs: "over 65536 bytes"},
		{name: "an invalid duration", args: []string{at, "--class=a", "--within=5"}, status: exitUsage,
			errs: "--within"},
		{name: "a negative duration", args: []string{at, "--class=a", "--within=-5s"}, status: exitUsage,
			errs: "--within"},
		{name: "an unknown flag", args: []string{at, "--color=a"}, status: exitUsage, errs: "--color"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			got := run(append([]string{"send"}, c.args...), strings.NewReader(c.in), &out, &errs)
			if got != c.status || out.String() != c.out || !strings.Contains(errs.String(), c.errs) ||
				strings.Count(errs.String(), "\n") > 1 {
				t.Errorf("got status %d, output %q, errors %q; want status %d, output %q, one line of errors with %q",
					got, out.String(), errs.String(), c.status, c.out, c.errs)
			}
		})
	}
}

// The path and the headers of the request to the scheduler hold the values of the flags.
func TestSendHeaders(t *testing.T) {
	addr, seen := startScheduler(t)
	if got := run([]string{"send", "--scheduler", addr, "--class", "district-batch", "--tenant", "north",
		"--object", "17", "--key", "k1", "--within", "3s"}, nil, io.Discard, io.Discard); got != exitOK {
		t.Fatal(got)
	}
	h := <-seen
	got := []string{h.Get("Path"), h.Get("X-Lane"), h.Get("X-Org"), h.Get("Idempotency-Key")}
	if diff := cmp.Diff([]string{"/district-batch/17", "district-batch", "north", "k1"}, got); diff != "" {
		t.Error(diff)
	}
	var remaining int
	if _, err := fmt.Sscan(h.Get("X-Remaining-Ms"), &remaining); err != nil || remaining < 1000 ||
		remaining > 3000 {
		t.Errorf("X-Remaining-Ms is %d, want 1000 to 3000 with --within 3s", remaining)
	}
}

func TestSendFile(t *testing.T) {
	addr, seen := startScheduler(t)
	jobs := tempFile(t, `{"class":"a","data":"one"}

{"class":"a","data":"busy"}
{"class":"b","data":"two","object":"7","within":"2s"}
{"class":"b","data":"broken"}
`)
	var out, errs bytes.Buffer
	got := run([]string{"send", "--scheduler", addr, "--jobs", jobs, "--at-once", "1"}, nil, &out, &errs)
	if got != exitFailed {
		t.Errorf("send with a file of which one job fails: got exit status %d, want exitFailed", got)
	}
	var ends []jobOutcome
	for d := json.NewDecoder(&out); d.More(); {
		var e jobOutcome
		if err := d.Decode(&e); err != nil {
			t.Fatal(err)
		}
		e.Error = ""
		ends = append(ends, e)
	}
	want := []jobOutcome{{Line: 1, Class: "a", Outcome: "served", Attempts: 1, Result: "ONE"},
		{Line: 3, Class: "a", Outcome: "refused"},
		{Line: 4, Class: "b", Outcome: "served", Attempts: 1, Result: "TWO"},
		{Line: 5, Class: "b", Outcome: "failed"}}
	if diff := cmp.Diff(want, ends); diff != "" {
		t.Error(diff)
	}
	for _, line := range []string{"a      refused  1", "b      served   1"} {
		if !strings.Contains(errs.String(), line) {
			t.Errorf("summary of the jobs: want the line %q, got\n%s", line, errs.String())
		}
	}
	sent := len(seen)
	for text, want := range map[string]string{
		`{"class":"a"}` + "\n" + `{"class":"a"`:     "line 2: unexpected EOF",
		`{"class":"a","color":1}`:                   "line 1: json: unknown field",
		`{"data":"a"}`:                              "line 1: no class",
		`{"class":"a"} {"class":"a"}`:               "line 1: more than one object",
		`{"class":"a","within":"-1s"}`:              "line 1: within must be",
		`{"class":"a","within":"soon"}`:             "line 1: time: invalid duration",
		`{"class":"` + strings.Repeat("a", 600<<10): "line 1: bufio.Scanner: token too long",
	} {
		var errs bytes.Buffer
		if got := run([]string{"send", "--scheduler", addr, "--jobs", tempFile(t, text)}, nil, io.Discard,
			&errs); got != exitUsage || !strings.Contains(errs.String(), want) {
			t.Errorf("file of jobs %.40s: got exit status %d, errors %q, want a usage error with %q", text, got,
				errs.String(), want)
		}
	}
	if len(seen) != sent {
		t.Error("invalid file of jobs: got submitted jobs, want none")
	}
}

// The flag --config still works under its former name --desk, which the help text does not mention.
func TestHelpHidesTheFormerFlag(t *testing.T) {
	var out bytes.Buffer
	if got := run([]string{"help", "send"}, nil, &out, io.Discard); got != exitOK {
		t.Fatalf("help send: got exit status %d, want 0", got)
	}
	if text := out.String(); !strings.Contains(text, "--config=FILE") || strings.Contains(text, "desk") {
		t.Error(text)
	}
}

func TestCommandLine(t *testing.T) {
	for _, c := range []struct {
		args   []string
		status int
		out    string // a part of what is printed to standard output
		errs   string // a part of what is printed to standard error
	}{
		{[]string{"version"}, exitOK, "dahliaford ", ""},
		{[]string{"help"}, exitOK, "Usage: dahliaford", ""},
		{[]string{"help", "send"}, exitOK, "--jobs", ""},
		{[]string{"send", "--help"}, exitOK, "--at-once", ""},
		{[]string{"check", "../../deploy/appliance.json"}, exitOK, "is valid: job store in /var/lib", ""},
		{[]string{"check", "../../examples/client.json"}, exitFailed, "", "the file: Additional property"},
		{[]string{"dance"}, exitUsage, "", "unexpected argument dance"},
		{[]string{"serve"}, exitFailed, "", "BALANCER_CONFIG is not set"},
		{nil, exitFailed, "", "BALANCER_CONFIG is not set"},
	} {
		t.Setenv("BALANCER_CONFIG", "")
		var out, errs bytes.Buffer
		if got := run(c.args, nil, &out, &errs); got != c.status || !strings.Contains(out.String(), c.out) ||
			!strings.Contains(errs.String(), c.errs) {
			t.Errorf("arguments %v: got exit status %d, output %q, errors %q, want those of the case",
				c.args, got, out.String(), errs.String())
		}
	}
}
