package balancer

// HTTP statuses of responses that the balancer tells apart (RFC 9110, section 15). They stand here because this package
// does no I/O and so does not import net/http.
const (
	statusBadRequest          = 400
	statusMisdirectedRequest  = 421
	statusInternalServerError = 500
	statusServiceUnavailable  = 503
)
