package config

import "strings"

// Kinds of items. The limits are a single item, whose name is empty.
const (
	KindRoutes   = "routes"
	KindServices = "services"
	KindLimits   = "limits"
	KindTenants  = "tenants"
)

// KeyPrefix begins the key of every register that stores an item.
const KeyPrefix = "item/"

// Key returns the key of the register that stores an item.
func Key(kind, name string) string { return KeyPrefix + kind + "/" + name }

// SplitKey is the inverse of Key. ok is false if the key is not that of an item.
func SplitKey(key string) (kind, name string, ok bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}
