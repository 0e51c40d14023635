package config

import "sagelever/internal/control/quorum"

// itemStatus is the result of comparing an item of a change with the register that stores the item.
type itemStatus int

const (
	// statusNewer: the item's version is higher than the stored one, so the item would take effect.
	statusNewer itemStatus = iota
	// statusConfirmed: the same content was already confirmed under this version.
	statusConfirmed
	// statusConflict: a different content was confirmed under this version.
	statusConflict
	// statusSuperseded: a higher version is stored, and nothing was confirmed under this one.
	statusSuperseded
	// statusUnknown: a higher version is stored, and the history no longer covers this one.
	statusUnknown
)

// statusOf compares an incoming item with the current value of its register.
func statusOf(current, incoming quorum.Value) itemStatus {
	if incoming.Version > current.Version {
		return statusNewer
	}
	if incoming.Version == current.Version {
		if sameContent(current, incoming) {
			return statusConfirmed
		}
		return statusConflict
	}
	digest, found, known := decodeHistory(current).lookup(incoming.Version)
	switch {
	case !known:
		return statusUnknown
	case !found:
		return statusSuperseded
	case digest != contentDigest(incoming):
		return statusConflict
	}
	return statusConfirmed
}

// sameContent compares two values without their versions and annotations. It computes digests only if the bodies
// differ.
func sameContent(a, b quorum.Value) bool {
	return a.Deleted == b.Deleted && a.Body == b.Body || contentDigest(a) == contentDigest(b)
}

// exists reports whether an item is in force: it has a version and is not deleted.
func exists(value quorum.Value) bool { return value.Version > 0 && !value.Deleted }

// removesService reports whether an item of a change deletes a service and takes effect.
func removesService(kind string, current, incoming quorum.Value) bool {
	return kind == KindServices && incoming.Deleted && statusOf(current, incoming) == statusNewer
}

// setsRoute reports whether an item of a change sets a route, as opposed to deleting it.
func setsRoute(kind string, incoming quorum.Value) bool {
	return kind == KindRoutes && !incoming.Deleted
}
