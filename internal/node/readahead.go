package node

import (
	"errors"
	"io"
	"syscall"

	"dahliaford/internal/http1"
)

// maxReadAhead limits the bytes that a client may send before it has the response to its present request; the
// last read may exceed the limit. Clients should send one request at a time. The node buffers bytes that
// arrive early in order to detect a disconnect behind them.
const maxReadAhead = http1.MaxHeadBytes

// smallReadAhead is the number of bytes that are read ahead without reserving memory for them.
const smallReadAhead = 2 << 10

// errReadAheadLimit reports that a client exceeded maxReadAhead, or that there is no memory for what it
// sent ahead. Its text is the body of the response.
var errReadAheadLimit = errors.New("too much was sent ahead of an answer")

// readAhead reads the connection into the buffer until the connection ends, the read deadline passes, or
// maxReadAhead is reached. It returns the error that ended the reading.
func (in *inbound) readAhead() error {
	for {
		if err := in.buffer(in.readConn); err != nil {
			return err
		}
	}
}

// checkDisconnected buffers the bytes that have arrived, without waiting for more. It returns an error if the
// client has disconnected or has exceeded maxReadAhead.
func (in *inbound) checkDisconnected() (err error) {
	if in.rawConn == nil {
		return nil
	}
	readNow := func(b []byte, flags int) (n int, err error) {
		if n, err = readSocketNow(in.rawConn, b, flags); n == 0 && err == nil {
			err = io.EOF
		}
		return n, err
	}
	var peeked [1]byte
	// A byte is rarely found, because clients usually wait for the response before they send again.
	if _, err = readNow(peeked[:], syscall.MSG_PEEK); err == nil {
		for err == nil {
			err = in.buffer(func(b []byte) (int, error) { return readNow(b, 0) })
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		return nil
	}
	return err
}

// buffer appends the bytes of one read to the buffer. It returns errReadAheadLimit, without reading, if the
// buffer already holds maxReadAhead bytes.
func (in *inbound) buffer(read func([]byte) (int, error)) error {
	if len(in.buffered) >= maxReadAhead {
		return errReadAheadLimit
	}
	var b [smallReadAhead]byte
	n, err := read(b[:])
	if n > 0 && !in.growBuffer(n) {
		return errReadAheadLimit
	}
	in.buffered = append(in.buffered, b[:n]...)
	return err
}

// growBuffer makes room for n more bytes that were read ahead. It reports false if there is no memory for
// them.
func (in *inbound) growBuffer(n int) bool {
	if cap(in.buffered)-len(in.buffered) >= n {
		return true
	}
	size := smallReadAhead
	if in.buffered != nil {
		size = maxReadAhead + smallReadAhead
		in.releaseAhead() // The new buffer replaces one that has been read in part.
		memory := in.memory.newRequest(in.conn, true)
		in.aheadMemory.Store(memory)
		if !memory.tryReserve(int64(size)) {
			return false
		}
	}
	in.buffered = append(make([]byte, 0, size), in.buffered...)
	return true
}

// releaseAhead releases the memory of the bytes that were read ahead.
func (in *inbound) releaseAhead() {
	if memory := in.aheadMemory.Swap(nil); memory != nil {
		memory.close()
	}
}
