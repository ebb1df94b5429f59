package simfleet

import (
	"net"
	"time"

	"dahliaford/internal/http1"
)

const dialTimeout = 2 * time.Second

// pooledConn is a connection to a scheduler that is used for one request after another.
type pooledConn struct {
	conn   net.Conn
	reader *http1.Reader
}

// connPool has the idle connections to one scheduler.
type connPool struct {
	addr    string
	idle    chan *pooledConn
	traffic *traffic
}

func newConnPool(addr string, maxIdle int, t *traffic) *connPool {
	return &connPool{addr: addr, idle: make(chan *pooledConn, maxIdle), traffic: t}
}

// get takes an idle connection, or opens one.
func (p *connPool) get() (*pooledConn, error) {
	select {
	case c := <-p.idle:
		return c, nil
	default:
	}
	conn, err := net.DialTimeout("tcp", p.addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	counted := countedConn{conn, p.traffic}
	return &pooledConn{counted, http1.NewReader(counted)}, nil
}

// put keeps a connection for the next request, or closes it if enough are idle.
func (p *connPool) put(c *pooledConn) {
	select {
	case p.idle <- c:
	default:
		c.conn.Close()
	}
}

// close closes the idle connections. No other call may be under way.
func (p *connPool) close() {
	for len(p.idle) > 0 {
		(<-p.idle).conn.Close()
	}
}
