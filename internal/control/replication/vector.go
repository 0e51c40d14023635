package replication

// Vector is a version vector, which describes the progress of a replica. For each origin it has the sequence number up
// to which the replica has received the origin's items or newer ones.
type Vector map[string]uint64

// Covers reports whether a replica with progress v has received everything that one with the other progress has.
func (v Vector) Covers(other Vector) bool {
	for origin, sequence := range other {
		if v[origin] < sequence {
			return false
		}
	}
	return true
}
