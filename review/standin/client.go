package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request sends one request on a new connection and reads the answer.
func request(addr, method, path string, header map[string]string, body []byte,
	wait time.Duration) (status int, err error) {
	conn, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write(encode(addr, method, path, header, body)); err != nil {
		return 0, err
	}
	return readAnswer(bufio.NewReader(conn))
}

// encode returns the bytes of a request.
func encode(addr, method, path string, header map[string]string, body []byte) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, addr)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	return append([]byte(b.String()), body...)
}

// readAnswer reads a complete answer and returns its status.
func readAnswer(reader *bufio.Reader) (status int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
