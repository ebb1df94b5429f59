//go:build !unix

package client

import "net"

// alive always returns true on platforms where the client cannot test an idle connection without blocking. A
// request on an idle connection that the scheduler has closed then fails.
func alive(net.Conn) bool { return true }
