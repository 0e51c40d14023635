//go:build !unix

package upstream

import "net"

// readable reports whether a read would not block. It is not implemented on these systems and always returns false, so
// that only unsolicited bytes that were buffered together with a response are detected.
func readable(*net.TCPConn) bool { return false }
