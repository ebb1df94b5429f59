package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strconv"
	"strings"
)

// body reads a body whose length the headers state by Content-Length or Transfer-Encoding. Without such a
// header it reads until the stream ends, at most maxUntilEOF bytes; with maxUntilEOF 0 the message has no
// body.
func (r *Reader) body(header textproto.MIMEHeader, maxUntilEOF int64) ([]byte, error) {
	lengths, coding := header["Content-Length"], header["Transfer-Encoding"]
	if len(coding) > 0 {
		// A message with two framings would allow request smuggling past a front end.
		if len(lengths) > 0 || len(coding) > 1 || !strings.EqualFold(coding[0], "chunked") {
			return nil, protocolError(400, "unsupported framing")
		}
		// The limit of 4*MaxBodyBytes covers the data and the chunk headers together.
		r.limited.N = 4 * MaxBodyBytes
		return readLimited(&chunkReader{reader: r}, r)
	}
	if len(lengths) == 0 {
		if maxUntilEOF == 0 {
			return nil, nil
		}
		r.limited.N = maxUntilEOF + 1
		return readLimited(r.buffered, r)
	}
	length, err := strconv.ParseUint(lengths[0], 10, 31)
	if err != nil || len(lengths) > 1 {
		return nil, protocolError(400, "malformed Content-Length")
	}
	if length > MaxBodyBytes {
		return nil, protocolError(413, "body over %d bytes", MaxBodyBytes)
	}
	r.limited.N = int64(length)
	r.announce(int(length))
	body, size, err := r.readUpTo(r.buffered, int(length))
	if err == nil && size < int(length) {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// announce tells that a body of at most length bytes is read next.
func (r *Reader) announce(length int) {
	if r.BodyBegins != nil {
		r.BodyBegins(length)
	}
}

// readLimited reads a body of at most MaxBodyBytes bytes.
func readLimited(body io.Reader, r *Reader) ([]byte, error) {
	r.announce(MaxBodyBytes)
	data, size, err := r.readUpTo(body, MaxBodyBytes+1)
	if size > MaxBodyBytes || r.limited.N <= 0 && err != nil {
		return nil, protocolError(413, "body over %d bytes", MaxBodyBytes)
	}
	return data, err
}

// firstBodyBytes is the memory that is allocated for the first bytes of a body.
const firstBodyBytes = 4 << 10

// readUpTo reads a body until its end or until it has limit bytes. Memory is allocated as the body arrives,
// and not in advance for the announced length. With DiscardBodies data is nil.
func (r *Reader) readUpTo(body io.Reader, limit int) (data []byte, size int, err error) {
	if r.DiscardBodies {
		size, err = discardUpTo(body, limit)
	} else {
		data, err = keepUpTo(body, limit)
		size = len(data)
	}
	if err == io.EOF { //nolint:errorlint // a protocol error that is joined with EOF must stay one
		err = nil
	}
	return data, size, err
}

// keepUpTo reads until an error or until it has limit bytes.
func keepUpTo(body io.Reader, limit int) (data []byte, err error) {
	data = make([]byte, 0, min(limit, firstBodyBytes))
	for len(data) < limit && err == nil {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(limit, 2*cap(data))), data...)
		}
		var n int
		n, err = body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
	}
	if len(data) < cap(data)/2 { // The body is kept for as long as its job, without unused memory.
		data = append(make([]byte, 0, len(data)), data...)
	}
	return data, err
}

// discardUpTo reads like keepUpTo and discards what it has read.
func discardUpTo(body io.Reader, limit int) (size int, err error) {
	var scratch [512]byte
	for size < limit && err == nil {
		var n int
		n, err = body.Read(scratch[:min(len(scratch), limit-size)])
		size += n
	}
	return size, err
}

// chunkReader decodes a chunked body.
type chunkReader struct {
	reader    *Reader
	remaining uint64 // remaining counts the unread bytes of the current chunk.
	chunkSeen bool   // chunkSeen says that the header of a chunk has been read.
	ended     bool   // ended says that the last chunk and the trailer have been read.
	// unbounded says that only single reads and chunk headers are limited in size, not the whole body.
	unbounded bool
}

// Read reads data of the body. It returns io.ErrUnexpectedEOF if the stream ends before the last chunk.
func (c *chunkReader) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.next(); err != nil {
			if err == io.EOF { //nolint:errorlint // a protocol error that is joined with EOF must stay one
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
	if c.unbounded {
		c.reader.limited.N = MaxBodyBytes
	}
	n, err := c.reader.buffered.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads the framing up to the data of the next chunk, or after the last chunk up to the end of the
// trailer.
func (c *chunkReader) next() error {
	if c.unbounded {
		c.reader.limited.N = MaxHeadBytes
	}
	if c.chunkSeen {
		if line, err := c.reader.chunkLine(); err != nil || len(line) > 0 {
			return errors.Join(err, protocolError(400, "malformed chunk"))
		}
	}
	c.chunkSeen = true
	line, err := c.reader.chunkLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	if c.remaining, err = strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31); err != nil {
		return protocolError(400, "malformed chunk size")
	}
	if c.remaining == 0 {
		c.ended = true
		return c.reader.trailer()
	}
	return nil
}

// trailer reads the fields behind the last chunk and discards them.
func (r *Reader) trailer() error {
	err := r.fields(func(line []byte) error {
		_, _, err := parseField(line, acceptBlanks)
		return err
	})
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return protocolError(400, "malformed trailer")
	}
	return err
}

// chunkLine reads a line of the framing of a chunked body. The line must fit into the read buffer, and is
// valid until the next read.
func (r *Reader) chunkLine() ([]byte, error) {
	line, err := r.buffered.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError(400, "chunk header too long")
	}
	return bytes.TrimRight(line, "\r\n"), err
}
