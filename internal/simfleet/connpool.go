package simfleet

import (
	"net"
	"time"

	"dahliaford/internal/http1"
)

const dialTimeout = 2 * time.Second

// pooledConn is a connection to a scheduler that carries one request after another.
type pooledConn struct {
	conn   net.Conn
	reader *http1.Reader
}

// connPool is a pool of idle connections to one scheduler.
type connPool struct {
	addr    string
	idle    chan *pooledConn
	traffic *traffic
}

func newConnPool(addr string, maxIdle int, t *traffic) *connPool {
	return &connPool{addr: addr, idle: make(chan *pooledConn, maxIdle), traffic: t}
}

// get takes an idle connection from the pool, or opens a new one if the pool is empty.
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

// put returns a connection to the pool for later requests, or closes the connection if the pool is full.
func (p *connPool) put(c *pooledConn) {
	select {
	case p.idle <- c:
	default:
		c.conn.Close()
	}
}

// close closes the idle connections. It must not run concurrently with other methods of the pool.
func (p *connPool) close() {
	for len(p.idle) > 0 {
		(<-p.idle).conn.Close()
	}
}
