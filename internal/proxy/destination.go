package proxy

import (
	"encoding/hex"
	"net"
	"strings"

	"github.com/go-faster/errors"
)

// destination is one incarnation of a backend at its address. Each connection belongs to one destination, although
// several incarnations may have used an address: a response on a connection is identified by the try id alone, and a
// request that one incarnation refused keeps its try id when it is sent to the next.
type destination struct{ backendID, address string }

// destinationSeparator separates the encoded parts of a destination. It is no hexadecimal digit.
const destinationSeparator = "-"

var errInvalidDestination = errors.New("invalid destination of a connection")

// host returns the destination as the host of a URL. http.Transport shares idle connections between requests with equal
// hosts. The host appears neither in requests nor in lookups of addresses.
func (d destination) host() string {
	return hex.EncodeToString([]byte(d.backendID)) + destinationSeparator + hex.EncodeToString([]byte(d.address))
}

// parseDestination returns the destination of a host with a port, as http.Transport passes it to its dialer.
func parseDestination(hostPort string) (destination, error) {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		return destination{}, err
	}
	encodedID, encodedAddress, found := strings.Cut(host, destinationSeparator)
	if !found {
		return destination{}, errInvalidDestination
	}
	backendID, err := hex.DecodeString(encodedID)
	if err != nil {
		return destination{}, errors.Wrap(err, "backend id")
	}
	address, err := hex.DecodeString(encodedAddress)
	if err != nil {
		return destination{}, errors.Wrap(err, "address")
	}
	return destination{backendID: string(backendID), address: string(address)}, nil
}
