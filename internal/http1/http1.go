// Package http1 reads and writes HTTP/1.1 messages over byte streams and limits the size of the messages. It
// opens and closes no connections.
package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// The size limits of a message, in bytes.
const (
	MaxHeadBytes = 16 << 10 // MaxHeadBytes limits the first line and the headers together.
	MaxBodyBytes = 64 << 10 // MaxBodyBytes limits the body.
)

// Error reports a message that violates the protocol or exceeds a limit.
type Error struct {
	Status int    // Status is the HTTP status to respond with.
	Text   string // Text describes the error and may be sent to the peer as the body of the response.
}

// Error returns e.Text.
func (e *Error) Error() string { return e.Text }

// protocolError returns an *Error with a formatted text.
func protocolError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Request is a request with its complete body.
type Request struct {
	Method, Target string
	Header         textproto.MIMEHeader
	Body           []byte
	Close          bool // Close says that the sender wants the connection to be closed after the response.
}

// Size returns the number of bytes that the request holds: those of its target, its kept header fields and
// its body.
func (r *Request) Size() int {
	size := len(r.Target) + len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Response is a response. Body is complete if it was read by Reader.Response or Reader.ResponseBody.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // Close says that the connection cannot be reused.
}

// Reader reads the messages of a stream one after the other.
type Reader struct {
	// SendContinue, if not nil, is called before the body of a request whose sender waits for the interim
	// response "100 Continue".
	SendContinue func()
	// BodyBegins, if not nil, is called before a body is read, with the largest length that it can have.
	BodyBegins func(length int)
	// KeptFields, if not nil, names the header fields that messages keep besides those that Reader itself needs.
	// The other fields are checked and discarded, so that a head of many fields takes no memory.
	KeptFields FieldNames
	// DiscardBodies says that bodies are read and discarded.
	DiscardBodies bool

	limited  io.LimitedReader
	buffered *bufio.Reader
}

// NewReader returns a Reader of the messages on a stream.
func NewReader(stream io.Reader) *Reader {
	r := &Reader{limited: io.LimitedReader{R: stream}}
	r.buffered = bufio.NewReader(&r.limited)
	return r
}

// Wait blocks until the first byte of the next message arrives. It returns the stream's error if the stream
// fails or ends before that.
func (r *Reader) Wait() error {
	r.limited.N = MaxHeadBytes
	_, err := r.buffered.Peek(1)
	return err
}

// Request reads a request with its body. The error is an *Error if the request is malformed or too long, and
// io.ErrUnexpectedEOF if the stream ends within the request. Other errors are those of the stream. If only
// the body could not be read, Request returns the request with an incomplete body, and the error.
func (r *Reader) Request() (*Request, error) {
	r.limited.N = MaxHeadBytes
	line, header, err := r.head(rejectBlanks)
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, found := strings.Cut(rest, " ")
	switch {
	case !found || !isPrintableToken(method) || !isPrintableToken(target) || target[0] != '/' ||
		strings.ContainsAny(version, " \t"):
		return nil, protocolError(400, "malformed request line")
	case version != "HTTP/1.1" && version != "HTTP/1.0":
		return nil, protocolError(505, "unsupported version")
	}
	request := &Request{Method: method, Target: target, Header: header, Close: wantsClose(header, version)}
	if r.SendContinue != nil && strings.EqualFold(header.Get("Expect"), "100-continue") {
		r.SendContinue()
	}
	request.Body, err = r.body(header, 0)
	return request, err
}

// Head reads the first line and the headers of a response. It returns the same kinds of errors as Request.
func (r *Reader) Head() (*Response, error) {
	r.limited.N = MaxHeadBytes
	line, header, err := r.head(acceptBlanks)
	if err != nil {
		return nil, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || status < 100 || status > 999 || !strings.HasPrefix(version, "HTTP/1.") {
		return nil, protocolError(502, "malformed status line")
	}
	return &Response{Status: status, Header: header, Close: wantsClose(header, version)}, nil
}

// maxInterimResponses limits the interim (1xx) responses that are skipped before a final response.
const maxInterimResponses = 8

// Response reads a final response with its body, and skips interim (1xx) responses before it. It returns the
// same kinds of errors as Request.
func (r *Reader) Response() (*Response, error) {
	for range maxInterimResponses + 1 {
		response, err := r.Head()
		if err != nil {
			return nil, err
		}
		if response.Status >= 200 {
			return response, r.ResponseBody(response)
		}
	}
	return nil, protocolError(502, "over %d interim responses", maxInterimResponses)
}

// ResponseBody reads the body of a final response whose head was read by Head. It returns the same kinds of
// errors as Request.
func (r *Reader) ResponseBody(response *Response) (err error) {
	switch {
	case response.Status == 204 || response.Status == 304:
	case response.Header.Get("Content-Length") == "" && response.Header.Get("Transfer-Encoding") == "":
		response.Close = true // A body without framing extends to the end of the connection.
		response.Body, err = r.body(response.Header, MaxBodyBytes)
	default:
		response.Body, err = r.body(response.Header, 0)
	}
	return err
}

// ChunkedBody returns a reader that decodes the chunked body after a head that was read by Head. The body is
// decoded as it arrives and may be endless: only the size of single reads and of chunk headers is limited.
func (r *Reader) ChunkedBody() io.Reader { return &chunkReader{reader: r, unbounded: true} }

// isPrintableToken reports whether a token of the request line is not empty and contains only printable
// ASCII characters without blanks. Workers close the connection on any other token.
func isPrintableToken(token string) bool {
	for i := range len(token) {
		if token[i] <= ' ' || token[i] >= 0x7f {
			return false
		}
	}
	return token != ""
}

// wantsClose reports whether the sender of a message wants the connection closed after the exchange.
func wantsClose(header textproto.MIMEHeader, version string) bool {
	for _, value := range header["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return true
			case "keep-alive":
				return false
			}
		}
	}
	return version == "HTTP/1.0"
}

// Field is one header field of a message to write.
type Field struct{ Name, Value string }

// AppendRequest appends a request to b and returns the result. It omits fields with an empty value.
func AppendRequest(b []byte, method, target string, fields []Field, body []byte) []byte {
	return append(AppendRequestHead(b, method, target, fields, len(body)), body...)
}

// AppendRequestHead appends a request to b that is complete but for its body of bodyLength bytes.
func AppendRequestHead(b []byte, method, target string, fields []Field, bodyLength int) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\n"...)
	return appendHeaders(b, fields, bodyLength, method != "GET" && method != "DELETE")
}

// AppendResponse appends a response to b and returns the result. It omits fields with an empty value.
func AppendResponse(b []byte, status int, fields []Field, body []byte) []byte {
	return append(AppendResponseHead(b, status, fields, len(body)), body...)
}

// AppendResponseHead appends a response to b that is complete but for its body of bodyLength bytes.
func AppendResponseHead(b []byte, status int, fields []Field, bodyLength int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	b = append(append(append(b, ' '), reasonPhrases[status]...), "\r\n"...)
	return appendHeaders(b, fields, bodyLength, status != 204)
}

// appendHeaders appends the header fields of a message and the empty line after them. It writes
// Content-Length if framed is true or the body is not empty.
func appendHeaders(b []byte, fields []Field, bodyLength int, framed bool) []byte {
	for _, f := range fields {
		if f.Value != "" {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	if framed || bodyLength > 0 {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(bodyLength), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

var reasonPhrases = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}
