package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dahliaford/internal/http1"
)

// peer is a client, worker or discovery service that a scenario controls. A client dials the node once; a
// worker or a discovery service listens.
type peer struct {
	w        *harness
	name     string
	listener net.Listener
	// conn is a client's only connection; at other peers conn is the connection of the message that Expect
	// returned last.
	conn     net.Conn
	received chan message // received holds the messages that have arrived at the peer.
	// deferred holds messages that arrived while Expect waited for the end of a connection.
	deferred []message
}

type message struct {
	text string
	conn net.Conn
}

// serve opens the listener of a worker or of a discovery service.
func (w *harness) serve(t *testing.T, name string) net.Listener {
	t.Helper()
	l := listenLoopback(t)
	p := w.newPeer(name)
	p.listener = l
	if name == "rdown" {
		l.Close()
		return l
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.listen(conn, func(r *http1.Reader) (string, error) {
				m, err := r.Request()
				if err != nil {
					return "", err
				}
				text := m.Method + " " + m.Target
				if m.Method == "POST" {
					text += fmt.Sprintf(" txn=%s key=%s body=%s", m.Header.Get("X-Txn"),
						m.Header.Get("Idempotency-Key"), m.Body)
				}
				return text, nil
			})
		}
	}()
	return l
}

func (w *harness) newPeer(name string) *peer {
	p := &peer{w: w, name: name, received: make(chan message, 100)}
	w.peers[name] = p
	return p
}

func (p *peer) listen(conn net.Conn, read func(*http1.Reader) (string, error)) {
	defer conn.Close()
	for r := http1.NewReader(conn); ; {
		text, err := read(r)
		if err != nil {
			p.received <- message{"end", conn}
			return
		}
		p.received <- message{text, conn}
	}
}

// Send writes a message. In text, " | " separates the lines of the head, and a body follows " || ".
func (p *peer) Send(text string) error {
	if p.conn == nil && p.listener == nil {
		conn, err := net.Dial("tcp", p.w.node.Addr().String())
		if err != nil {
			return err
		}
		p.conn = conn
		go p.listen(conn, func(r *http1.Reader) (string, error) {
			m, err := r.Head()
			if err == nil && m.Status != 100 {
				err = r.ResponseBody(m)
			}
			if err != nil {
				return "", err
			}
			text := fmt.Sprint(m.Status)
			if after := m.Header.Get("Retry-After"); after != "" {
				text += " after " + after
			}
			if m.Close {
				text += " close"
			}
			return strings.TrimSpace(text + " " + string(m.Body)), nil
		})
	}
	if strings.HasPrefix(p.name, "discovery") {
		if text == "head" {
			text = watchHead
		} else {
			text = chunk(strings.ReplaceAll(text, "/n", "\n"))
		}
		_, err := io.WriteString(p.conn, text)
		return err
	}
	// The text after "part" is sent unchanged and may be empty.
	if raw, ok := strings.CutPrefix(text, "part"); ok {
		_, err := io.WriteString(p.conn, strings.TrimSpace(raw))
		return err
	}
	head, body, framed := strings.Cut(text, " || ")
	if strings.HasPrefix(head, "job ") {
		fields := strings.Fields(head)
		head = "POST /" + fields[1] + "/7?a=b | X-Txn: " + fields[2] + " | X-Lane: " + fields[1] +
			" | X-Org: sahel | X-Remaining-Ms: 30000 | Idempotency-Key: k"
		if len(fields) > 3 {
			head += " " + strings.Join(fields[3:], " ")
		}
	}
	if p.listener != nil {
		head = "HTTP/1.1 " + head
	} else if !strings.Contains(head, "HTTP/") {
		line, rest, _ := strings.Cut(head, " | ")
		head = strings.TrimSuffix(line+" HTTP/1.1 | "+rest, " | ")
	}
	if (framed || p.listener != nil) && !strings.Contains(head, "Content-Length") {
		head += fmt.Sprintf(" | Content-Length: %d", len(body))
	}
	_, err := io.WriteString(p.conn, strings.ReplaceAll(head, " | ", "\r\n")+"\r\n\r\n"+body)
	return err
}

// Expect returns the next message, or "end" for the end of a connection. At a worker or a discovery service
// an idle connection may end at any time, so their Expect skips ends unless want is "end". The end of one
// connection and the messages of another one may arrive in any order, so while a worker or a discovery
// service waits for an end, Expect defers other messages to the next call.
func (p *peer) Expect(want string) (string, error) {
	if len(p.deferred) > 0 && want != "end" {
		m := p.deferred[0]
		p.deferred, p.conn = p.deferred[1:], m.conn
		return m.text, nil
	}
	for {
		select {
		case m := <-p.received:
			if m.text == "end" && want != "end" && p.listener != nil {
				continue
			}
			if want == "end" && m.text != "end" && p.listener != nil {
				p.deferred = append(p.deferred, m)
				continue
			}
			p.conn = m.conn
			return m.text, nil
		case <-time.After(testTimeout):
			return "", errors.New("no message arrived at the peer within testTimeout")
		}
	}
}

// Close closes the connection of the last message; with the text "reset" it resets the connection. After an
// orderly close a worker or a discovery service receives "end" when the node has closed its side as well.
func (p *peer) Close(text string) error {
	conn := p.conn.(*net.TCPConn)
	switch {
	case p.listener == nil:
		p.conn = nil
	case text != "reset":
		return conn.CloseWrite()
	default:
		if err := conn.SetLinger(0); err != nil {
			return err
		}
	}
	return conn.Close()
}

// disconnect ends a client's connection in one of disconnectWays: by an orderly close, by a reset, or by a
// close after a part of a request or two further requests.
func (p *peer) disconnect(t *testing.T, way string) {
	t.Helper()
	conn := p.conn.(*net.TCPConn)
	switch way {
	case "reset":
		resetOnClose(t, conn)
	case "half a request":
		write(t, conn, "POST /batch/8 HTTP/1.1\r\nX-Txn: b")
	case "two more requests":
		for _, id := range []string{"a8", "a9"} {
			if err := p.Send("job batch " + id + " || more"); err != nil {
				t.Fatal(err)
			}
		}
	}
	_ = conn.Close() // The peer's reader may have closed the connection, if the node closed its side.
}

var disconnectWays = []string{"in order", "reset", "half a request", "two more requests"}

// writeRaw writes a text unchanged on the connection of a client.
func (w *harness) writeRaw(t *testing.T, client, text string) {
	t.Helper()
	write(t, w.peers[client].conn, text)
}

// nodePeer is the node as an actor in scenarios. Scenarios send it "stop" or "reload NAME".
type nodePeer struct {
	*Node
	w *harness
}

func (s nodePeer) Send(text string) error {
	if discovery, reload := strings.CutPrefix(text, "reload "); reload {
		s.Reload(Config{Discovery: s.w.peers[discovery].listener.Addr().String()})
	} else {
		s.Stop()
	}
	return nil
}

func (s nodePeer) Expect(string) (string, error) {
	return "", errors.New("expect is not supported for the node, only for its peers")
}

func (s nodePeer) Close(string) error {
	return errors.New("close is not supported for the node; the message stop ends the node")
}
