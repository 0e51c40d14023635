package proxy

import (
	"testing"

	"pgregory.net/rapid"
)

// A destination survives the way through the transport, which adds a port and keeps connections apart by the host.
func TestDestinationFromHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := destination{backendID: rapid.String().Draw(t, "id"), address: rapid.String().Draw(t, "address")}
		if got, err := parseDestination(want.host() + ":80"); err != nil || got != want {
			t.Fatalf("parsed as %q, error %v; want %q", got, err, want)
		}
	})
	for _, hostPort := range []string{"", "6131", "6131:80", "6131-zz:80", "zz-6131:80"} {
		if got, err := parseDestination(hostPort); err == nil {
			t.Errorf("%q parsed as %q, want an error", hostPort, got)
		}
	}
}
