// Package http1 reads and writes HTTP/1.1 messages over a byte stream, within
// limits on size. It opens and closes nothing.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// The limits on a message.
const (
	MaxHead = 16 << 10 // bytes of first line and headers
	MaxBody = 64 << 10 // bytes of body
)

// Error is a message that breaks the protocol, with the status to answer.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func wrong(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Request is a request with its whole body.
type Request struct {
	Method, Target string
	Header         textproto.MIMEHeader
	Body           []byte
	Close          bool // the sender wants the connection closed after the answer
}

// Response is a response. Body is whole, unless only the head was read.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // the connection cannot be used again
}

// Reader reads messages one after the other.
type Reader struct {
	// Continue, if set, is called before the body of a request whose sender waits for
	// leave to send it.
	Continue func()

	limit io.LimitedReader
	buf   *bufio.Reader
	text  *textproto.Reader
}

// NewReader returns a reader of the messages on a stream.
func NewReader(r io.Reader) *Reader {
	m := &Reader{limit: io.LimitedReader{R: r}}
	m.buf = bufio.NewReader(&m.limit)
	m.text = textproto.NewReader(m.buf)
	return m
}

// Wait blocks until the next message begins or the stream ends.
func (m *Reader) Wait() error {
	m.limit.N = MaxHead
	_, err := m.buf.Peek(1)
	return err
}

// Request reads a request.
func (m *Reader) Request() (*Request, error) {
	m.limit.N = MaxHead
	line, header, err := m.head()
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, found := strings.Cut(rest, " ")
	switch {
	case !found || !plain(method) || !plain(target) || target[0] != '/' || strings.ContainsAny(version, " \t"):
		return nil, wrong(400, "malformed request line")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return nil, wrong(505, "unsupported version")
	}
	for name := range header {
		// Kept apart from the name without the blank, which others may read it as:
		// a length that is hidden like this would smuggle a request past us.
		if strings.ContainsAny(name, " \t") {
			return nil, wrong(400, "malformed header name")
		}
	}
	r := &Request{Method: method, Target: target, Header: header, Close: closes(header, version)}
	if m.Continue != nil && strings.EqualFold(header.Get("Expect"), "100-continue") {
		m.Continue()
	}
	if r.Body, err = m.body(header, 0); err != nil {
		return nil, err
	}
	return r, nil
}

// Head reads the first line and the headers of a response.
func (m *Reader) Head() (*Response, error) {
	m.limit.N = MaxHead
	line, header, err := m.head()
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 999 || !strings.HasPrefix(version, "HTTP/1.") {
		return nil, wrong(502, "malformed status line")
	}
	return &Response{Status: status, Header: header, Close: closes(header, version)}, nil
}

// mostInterim is how many interim responses are passed over before a final one.
const mostInterim = 8

// Response reads a response with its body, past any interim ones.
func (m *Reader) Response() (*Response, error) {
	for range mostInterim + 1 {
		r, err := m.Head()
		if err != nil {
			return nil, err
		}
		if r.Status >= 200 {
			return r, m.Rest(r)
		}
	}
	return nil, wrong(502, "over %d interim responses", mostInterim)
}

// Rest reads the body that follows the head of a final response.
func (m *Reader) Rest(r *Response) (err error) {
	switch {
	case r.Status == 204 || r.Status == 304:
	case r.Header.Get("Content-Length") == "" && r.Header.Get("Transfer-Encoding") == "":
		r.Close = true // the body lasts as long as the connection
		r.Body, err = m.body(r.Header, MaxBody)
	default:
		r.Body, err = m.body(r.Header, 0)
	}
	return err
}

// Chunks is the chunked body that follows a head, read as it comes: it may go on
// without an end.
func (m *Reader) Chunks() io.Reader { return &chunks{m: m, endless: true} }

func (m *Reader) head() (line string, header textproto.MIMEHeader, err error) {
	for tries := 0; line == "" && tries < 2 && err == nil; tries++ { // one stray blank line is allowed
		line, err = m.text.ReadLine()
	}
	if err == nil {
		header, err = m.text.ReadMIMEHeader()
	}
	var malformed textproto.ProtocolError
	switch {
	case err == nil:
		return line, header, nil
	case m.limit.N <= 0:
		return "", nil, wrong(431, "head over %d bytes", MaxHead)
	case errors.As(err, &malformed):
		return "", nil, wrong(400, "malformed head")
	case err == io.EOF && line != "":
		err = io.ErrUnexpectedEOF
	}
	return "", nil, err
}

// body reads a body framed by its headers; without any, up to open bytes that last
// until the stream ends.
func (m *Reader) body(header textproto.MIMEHeader, open int64) ([]byte, error) {
	lengths, coding := header["Content-Length"], header["Transfer-Encoding"]
	if len(coding) > 0 {
		// Two framings in one message are how requests are smuggled past a front.
		if len(lengths) > 0 || len(coding) > 1 || !strings.EqualFold(coding[0], "chunked") {
			return nil, wrong(400, "unsupported framing")
		}
		m.limit.N = 4 * MaxBody // data and what frames it
		return capped(&chunks{m: m}, m)
	}
	if len(lengths) == 0 {
		if open == 0 {
			return nil, nil
		}
		m.limit.N = open + 1
		return capped(m.buf, m)
	}
	length, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || len(lengths) > 1 {
		return nil, wrong(400, "malformed Content-Length")
	}
	if length > MaxBody {
		return nil, wrong(413, "body over %d bytes", MaxBody)
	}
	// Memory is taken as the body comes, not as it is announced.
	m.limit.N = int64(length)
	body, err := io.ReadAll(io.LimitReader(m.buf, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// plain tells whether a word of the request line is whole and printable. What a worker
// cannot read makes it close the connection.
func plain(word string) bool {
	for i := range len(word) {
		if word[i] <= ' ' || word[i] >= 0x7f {
			return false
		}
	}
	return word != ""
}

func capped(r io.Reader, m *Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if len(body) > MaxBody || m.limit.N <= 0 && err != nil {
		return nil, wrong(413, "body over %d bytes", MaxBody)
	}
	return body, err
}

// chunks decodes a chunked body.
type chunks struct {
	m       *Reader
	left    uint64 // of the chunk that is being read
	begun   bool
	ended   bool
	endless bool // the body as a whole has no limit
}

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.next(); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
	if c.endless {
		c.m.limit.N = MaxBody
	}
	n, err := c.m.buf.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads up to the data of the next chunk, or past the trailer.
func (c *chunks) next() error {
	if c.endless {
		c.m.limit.N = MaxHead
	}
	if c.begun {
		if line, err := c.m.text.ReadLine(); err != nil || line != "" {
			return errors.Join(err, wrong(400, "malformed chunk"))
		}
	}
	c.begun = true
	line, err := c.m.text.ReadLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	if c.left, err = strconv.ParseUint(strings.TrimSpace(size), 16, 31); err != nil {
		return wrong(400, "malformed chunk size")
	}
	if c.left == 0 {
		c.ended = true
		_, err = c.m.text.ReadMIMEHeader()
	}
	return err
}

func closes(header textproto.MIMEHeader, version string) bool {
	for _, value := range header["Connection"] {
		for word := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.TrimSpace(word)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return version == "HTTP/1.0"
}

// Field is one header of a message to write.
type Field struct{ Name, Value string }

// AppendRequest writes a request. Fields with an empty value are left out.
func AppendRequest(b []byte, method, target string, fields []Field, body []byte) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\n"...)
	return appendRest(b, fields, body, method != "GET" && method != "DELETE")
}

// AppendResponse writes a response.
func AppendResponse(b []byte, status int, fields []Field, body []byte) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reasons[status]...), "\r\n"...)
	return appendRest(b, fields, body, status != 204)
}

func appendRest(b []byte, fields []Field, body []byte, framed bool) []byte {
	for _, f := range fields {
		if f.Value != "" {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	if framed || len(body) > 0 {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(append(b, "\r\n"...), body...)
}

var reasons = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}
