package message

import "testing"

// Whether a proxy is authoritative follows from the last response of a controller with a quorum. A response of a
// version that doesn't state its authority suffices if the controller has a quorum.
func TestAuthoritative(t *testing.T) {
	for _, test := range []struct {
		quorum    bool
		authority Authority
		// wantInitially and wantIfAlready are the results for a proxy that was not or was authoritative before.
		wantInitially, wantIfAlready bool
	}{
		{quorum: true, authority: AuthorityUnstated, wantInitially: true, wantIfAlready: true},
		{quorum: true, authority: AuthorityUnverified},
		{quorum: true, authority: AuthorityFollowing, wantIfAlready: true},
		{quorum: true, authority: AuthorityConfirmed, wantInitially: true, wantIfAlready: true},
		{authority: AuthorityUnstated, wantIfAlready: true},
		{authority: AuthorityUnverified, wantIfAlready: true},
		{authority: AuthorityFollowing, wantIfAlready: true},
		{authority: AuthorityConfirmed, wantIfAlready: true},
	} {
		response := &PullResponse{HasQuorum: test.quorum, Authority: test.authority}
		if got := response.Authoritative(false); got != test.wantInitially {
			t.Errorf("%+v: got %v for a proxy that was not authoritative", test, got)
		}
		if got := response.Authoritative(true); got != test.wantIfAlready {
			t.Errorf("%+v: got %v for a proxy that was authoritative", test, got)
		}
	}
}
