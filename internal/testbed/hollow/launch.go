package hollow

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"sagelever/internal/settings"
)

// Ports of the processes. They are the same for all processes, as in a deployment, and below the range of ephemeral
// ports.
const (
	peerPort      = 21300
	lastPeerPort  = 21301
	controlPort   = "21302"
	directoryPort = "21303"
	listenerPort  = "21304"
	readinessPort = "21305"
)

// Last bytes of the IP addresses of the first controller and the first proxy.
const (
	firstControllerHost = 2
	firstProxyHost      = 120
)

// launch writes the settings file of a process and starts the process.
func (b *Testbed) launch(role string, i int, zone string) (*Process, error) {
	node := fmt.Sprintf("%s-%d", role, i)
	ip := b.host(firstControllerHost + i)
	if role == RoleProxy {
		ip = b.host(firstProxyHost + i)
	}
	nodeSettings := b.settings(node, role, ip, zone)
	encoded, err := json.Marshal(nodeSettings)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(b.options.Dir, node+".json")
	if err := os.WriteFile(file, encoded, 0o644); err != nil {
		return nil, err
	}
	return b.options.Launch(role, file)
}

// settings returns the settings of a node.
func (b *Testbed) settings(node, role, ip, zone string) settings.Settings {
	return settings.Settings{
		Node:          node,
		Role:          role,
		IP:            ip,
		Zone:          zone,
		Region:        b.regions[zone],
		Zones:         b.regions,
		PeerPortRange: []int{peerPort, lastPeerPort},
		ListenAddresses: map[string]string{
			"control":    net.JoinHostPort(ip, controlPort),
			"directory":  net.JoinHostPort(ip, directoryPort),
			"front":      net.JoinHostPort(ip, listenerPort),
			"readyCheck": net.JoinHostPort(ip, readinessPort),
		},
		SeedAddresses:     b.controllerAddresses()[:minControllers],
		FreshStart:        true,
		DataDir:           filepath.Join(b.options.Dir, node),
		HeartbeatInterval: formatMillis(b.options.HeartbeatInterval),
		FaultTolerance:    settings.FaultTolerance{Hosts: 1, Zones: 1, Regions: 1},
		LimitsTable:       []string{"empty=" + formatMillis(b.options.DrainTimeout), "ttl_max=5s", "leeway=1s"},
	}
}

// formatMillis formats a duration as milliseconds, as settings files do.
func formatMillis(d time.Duration) string { return fmt.Sprint(d.Milliseconds(), "ms") }

// host returns the IP address with the given last byte.
func (b *Testbed) host(lastByte int) string { return fmt.Sprint(b.network, lastByte) }

// controllerAddresses returns the addresses at which controllers accept calls of operators and backends.
func (b *Testbed) controllerAddresses() (addresses []string) {
	for i := range b.options.Controllers {
		addresses = append(addresses, net.JoinHostPort(b.host(firstControllerHost+i), controlPort))
	}
	return addresses
}

// pullAddresses returns the addresses of all controllers for pulls, beginning with the controller of the given zone.
func (b *Testbed) pullAddresses(zone int) (addresses []string) {
	for i := range b.options.Controllers {
		host := firstControllerHost + (zone+i)%b.options.Controllers
		addresses = append(addresses, net.JoinHostPort(b.host(host), strconv.Itoa(peerPort)))
	}
	return addresses
}
