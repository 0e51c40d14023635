//go:build !unix

package upstream

import "net"

// readable reports whether a read would not wait. These systems do not tell, so that only what has been read together
// with a response is seen after it.
func readable(*net.TCPConn) bool { return false }
