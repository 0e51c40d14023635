package balancer

// HTTP status codes that the balancer handles specially (RFC 9110, section 15). They are defined here because this
// package does no I/O and therefore does not import net/http.
const (
	statusBadRequest          = 400
	statusMisdirectedRequest  = 421
	statusInternalServerError = 500
	statusServiceUnavailable  = 503
)
