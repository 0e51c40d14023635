package config

import "strings"

// Kinds of items. KindLimits has a single item, whose name is empty.
const (
	KindRoutes   = "routes"
	KindServices = "services"
	KindLimits   = "limits"
	KindTenants  = "tenants"
)

// KeyPrefix is the prefix of the keys of registers that store items.
const KeyPrefix = "item/"

// Key returns the key of the register that stores an item.
func Key(kind, name string) string { return KeyPrefix + kind + "/" + name }

// SplitKey returns the kind and the name that Key was given. ok is false if no item has this key.
func SplitKey(key string) (kind, name string, ok bool) {
	suffix, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(suffix, "/")
}
