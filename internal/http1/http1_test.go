package http1

import (
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
)

func crlf(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }

// The Reader gets each request byte by byte, so that a read ends at every position of the request.
func TestRequests(t *testing.T) {
	head := func(h map[string][]string) textproto.MIMEHeader { return h }
	for name, c := range map[string]struct {
		text   string
		want   *Request
		status int // status is the expected status of the error; -1 means io.ErrUnexpectedEOF and 0 no error.
	}{
		"plain": {text: "GET /a?b=c HTTP/1.1\nhost: x\n\n",
			want: &Request{Method: "GET", Target: "/a?b=c", Header: head(map[string][]string{"Host": {"x"}})}},
		"body": {text: "POST / HTTP/1.1\nContent-Length: 3\n\nabc",
			want: &Request{Method: "POST", Target: "/", Body: []byte("abc"),
				Header: head(map[string][]string{"Content-Length": {"3"}})}},
		"chunks": {text: "POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n2;x=y\nab\n1\nc\n0\nT: u\n\n",
			want: &Request{Method: "POST", Target: "/", Body: []byte("abc"),
				Header: head(map[string][]string{"Transfer-Encoding": {"chunked"}})}},
		"close": {text: "GET / HTTP/1.1\nConnection: x, Close\n\n",
			want: &Request{Method: "GET", Target: "/", Close: true,
				Header: head(map[string][]string{"Connection": {"x, Close"}})}},
		"old": {text: "GET / HTTP/1.0\n\n",
			want: &Request{Method: "GET", Target: "/", Close: true, Header: head(nil)}},
		"no path":     {text: "GET x HTTP/1.1\n\n", status: 400},
		"no version":  {text: "GET /\n\n", status: 400},
		"new version": {text: "GET / HTTP/2.0\n\n", status: 505},
		"no colon":    {text: "GET / HTTP/1.1\nnonsense\n\n", status: 400},
		"two framings": {status: 400,
			text: "POST / HTTP/1.1\nContent-Length: 0\nTransfer-Encoding: chunked\n\n"},
		"two lengths":      {text: "POST / HTTP/1.1\nContent-Length: 1\nContent-Length: 2\n\nab", status: 400},
		"negative length":  {text: "POST / HTTP/1.1\nContent-Length: -1\n\n", status: 400},
		"blank in a name":  {text: "POST / HTTP/1.1\nContent-Length : 1\n\na", status: 400},
		"signed length":    {text: "POST / HTTP/1.1\nContent-Length: +1\n\na", status: 400},
		"control in path":  {text: "GET /a\x01b HTTP/1.1\n\n", status: 400},
		"bare CR in path":  {text: "GET /a\rb HTTP/1.1\n\n", status: 400},
		"control in value": {text: "GET / HTTP/1.1\nX-Txn: a\x00b\n\n", status: 400},
		"bare CR in value": {text: "GET / HTTP/1.1\nX-Txn: a\rb\n\n", status: 400},
		"long body":        {text: "POST / HTTP/1.1\nContent-Length: 65537\n\n", status: 413},
		"long chunks": {text: "POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n10001\n" +
			strings.Repeat("a", 65537) + "\n0\n\n", status: 413},
		"odd chunk":        {text: "POST / HTTP/1.1\nTransfer-Encoding: chunked\n\nzz\n", status: 400},
		"long head":        {text: "GET / HTTP/1.1\nA: " + strings.Repeat("a", MaxHeadBytes) + "\n\n", status: 431},
		"endless line":     {text: "GET /" + strings.Repeat("a", MaxHeadBytes), status: 431},
		"broken off":       {text: "POST / HTTP/1.1\nContent-Length: 3\n\nab", status: -1},
		"head broken off":  {text: "POST / HTTP/1.1\nHost:", status: -1},
		"chunk broken off": {text: "POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n5\nab", status: -1},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := NewReader(iotest.OneByteReader(strings.NewReader(crlf(c.text)))).Request()
			status := 0
			var protocolErr *Error
			switch {
			case errors.As(err, &protocolErr):
				status = protocolErr.Status
			case errors.Is(err, io.ErrUnexpectedEOF):
				status = -1
			case err != nil:
				t.Fatal(err)
			}
			if diff := cmp.Diff(c.status, status); diff != "" {
				t.Fatal(diff, err)
			}
			if c.want != nil && c.want.Header == nil {
				c.want.Header = textproto.MIMEHeader{}
			}
			if diff := cmp.Diff(c.want, got); diff != "" && c.status == 0 {
				t.Error(diff)
			}
		})
	}
}

// Responses with different framing are read one after the other from the same stream.
func TestResponsesInARow(t *testing.T) {
	stream := crlf("HTTP/1.1 100 Continue\n\nHTTP/1.1 202 Accepted\nContent-Length: 0\n\n" +
		"HTTP/1.1 503 No\nTransfer-Encoding: chunked\n\n1\na\n0\n\nHTTP/1.1 204 No Content\n\n" +
		"HTTP/1.1 200 OK\n\nuntil the end")
	read := NewReader(iotest.OneByteReader(strings.NewReader(stream)))
	type seen struct {
		Status int
		Body   string
		Close  bool
	}
	var got []seen
	for range 4 {
		r, err := read.Response()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, seen{r.Status, string(r.Body), r.Close})
	}
	want := []seen{{202, "", false}, {503, "a", false}, {204, "", false}, {200, "until the end", true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A chunked body that is read with ChunkedBody may exceed the limits of a single message.
func TestEndlessChunks(t *testing.T) {
	const n = 40
	chunk := crlf("1000\n" + strings.Repeat("a", 0x1000) + "\n")
	read := NewReader(strings.NewReader(strings.Repeat(chunk, n) + crlf("0\n\n")))
	body, err := io.ReadAll(read.ChunkedBody())
	if diff := cmp.Diff(n*0x1000, len(body)); diff != "" || err != nil {
		t.Error(diff, err)
	}
}

func TestWrittenMessages(t *testing.T) {
	host := []Field{{"Host", "h"}, {"Left-Out", ""}}
	body := []byte("hi")
	for want, got := range map[string][]byte{
		"POST /a HTTP/1.1\nHost: h\nContent-Length: 2\n\nhi": AppendRequest(nil, "POST", "/a", host, body),
		"DELETE /jobs/1 HTTP/1.1\nHost: h\n\n":               AppendRequest(nil, "DELETE", "/jobs/1", host, nil),
		"HTTP/1.1 204 No Content\n\n":                        AppendResponse(nil, 204, nil, nil),
		"HTTP/1.1 404 Not Found\nContent-Length: 0\n\n":      AppendResponse(nil, 404, nil, nil),
	} {
		if diff := cmp.Diff(crlf(want), string(got)); diff != "" {
			t.Error(diff)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add([]byte(crlf("POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n1\na\n0\n\n")))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := NewReader(bytes.NewReader(data)).Request()
		if err == nil && (len(r.Body) > MaxBodyBytes || r.Target[0] != '/') {
			t.Errorf("Request accepted %+v, want a body of at most MaxBodyBytes and a target that begins with /", r)
		}
	})
}

// A request that announces a large body without sending it must not allocate memory for that body, because
// hundreds of clients may send such requests.
func TestAnnouncedLengthCostsNothing(t *testing.T) {
	text := crlf("POST / HTTP/1.1\nContent-Length: 65536\n\nab")
	got := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			if _, err := NewReader(strings.NewReader(text)).Request(); err == nil {
				t.Error("Request returned no error for a request whose body is incomplete")
			}
		}
	}).AllocedBytesPerOp()
	if got > MaxBodyBytes/4 {
		t.Errorf("reading an incomplete request allocated %d bytes, want at most MaxBodyBytes/4", got)
	}
}

// Response skips up to maxInterimResponses interim responses and fails if there are more.
func TestInterimResponsesEnd(t *testing.T) {
	const interim, final = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n"
	for n, ok := range map[int]bool{0: true, maxInterimResponses: true, maxInterimResponses + 1: false} {
		r, err := NewReader(strings.NewReader(strings.Repeat(interim, n) + final)).Response()
		if (err == nil) != ok || ok && r.Status != 202 {
			t.Errorf("%d interim responses: got %v and error %v, want an error only above maxInterimResponses",
				n, r, err)
		}
	}
}
