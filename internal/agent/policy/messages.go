package policy

import (
	"encoding/binary"

	"sagelever/internal/agent/api"
)

// Messages between agents are big-endian datagrams of at most 256 bytes. There are two kinds, distinguished by length.
// A report of counts consists of the build on trial (two bytes) and records of ten bytes, so its length is 2 modulo 10,
// which is even. A health report consists of its kind (one byte) and backend IDs of four bytes, so its length is 1
// modulo 4, which is odd.
const (
	maxMessageSize   = 256
	buildSize        = 2
	recordSize       = 10 // backend ID 4, arm (top bit) and outcomes 2, doubled payoff 2, faults 2
	maxReportSize    = maxMessageSize - buildSize - recordSize
	kindSize         = 1
	backendIDSize    = 4
	minHealthReport  = kindSize + backendIDSize
	maxHealthIDs     = (maxMessageSize - kindSize) / backendIDSize
	armBit           = 15      // in a record's outcomes
	maxCountInRecord = 1 << 14 // so that the doubled payoff fits in two bytes
)

// healthReportKind is the kind of a health report. The values are part of the message format.
type healthReportKind int

const (
	reportUnhealthy   healthReportKind = iota // the sender found the backends unhealthy
	reportRecovered                           // the sender found the backends healthy again
	reportConfirmed                           // enough agents found the backends unhealthy
	healthReportKinds                         // number of kinds
)

// sendToFirst sends a message to the agents with the lowest numbers, excluding this one.
func (b *Balancer) sendToFirst(agents int, data []byte) {
	for to := range agents {
		if to != int(b.peerNumber()) {
			b.emit(api.SendMessage{To: api.PeerNumber(to), Data: data})
		}
	}
}

func (b *Balancer) peerNumber() api.PeerNumber { return api.PeerNumber(b.settings.number) }

// reportSize returns the size in bytes of the records in the next report of counts, 0 if there is nothing to report.
func (b *Balancer) reportSize() int {
	size := 0
	for _, backend := range b.ordered {
		if backend.unreported.outcomes > 0 && size < maxReportSize {
			size += recordSize
		}
	}
	return size
}

// reportMessage returns a report of the unreported counts and clears them. Counts that do not fit are left for the next
// report.
func (b *Balancer) reportMessage() []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(b.trialBuild))
	for _, backend := range b.ordered {
		counts := &backend.unreported
		outcomes := min(counts.outcomes, maxCountInRecord)
		if outcomes <= 0 || len(data) > maxReportSize {
			continue
		}
		data = binary.BigEndian.AppendUint32(data, uint32(backend.ID))
		data = binary.BigEndian.AppendUint16(data, uint16(outcomes)|uint16(b.armOf(backend))<<armBit)
		data = binary.BigEndian.AppendUint16(data, uint16(2*min(counts.payoff, outcomes)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(counts.faults, outcomes)))
		*counts = arm{}
	}
	return data
}

// healthMessage returns a health report on backends, truncated to maxHealthIDs.
func healthMessage(kind healthReportKind, ids []api.BackendID) []byte {
	data := []byte{byte(kind)}
	for _, id := range ids[:min(len(ids), maxHealthIDs)] {
		data = binary.BigEndian.AppendUint32(data, uint32(id))
	}
	return data
}

// receiveMessage handles a message from another agent. Malformed messages and counts of another build are ignored.
func (b *Balancer) receiveMessage(message api.MessageReceived) {
	data := message.Data
	if len(data) >= minHealthReport && len(data)%backendIDSize == kindSize {
		b.receiveHealthReport(message)
		return
	}
	if len(data)%recordSize != buildSize || api.Build(binary.BigEndian.Uint16(data)) != b.trialBuild || !b.rolloutKnown {
		return
	}
	for record := data[buildSize:]; len(record) > 0; record = record[recordSize:] {
		b.receiveCounts(record)
	}
}

// receiveCounts handles one record of a report.
func (b *Balancer) receiveCounts(record []byte) {
	backend := b.backends[api.BackendID(binary.BigEndian.Uint32(record))]
	armAndOutcomes := binary.BigEndian.Uint16(record[4:])
	index := armIndex(armAndOutcomes >> armBit)
	counts := arm{
		outcomes: float64(armAndOutcomes & (1<<armBit - 1)),
		payoff:   float64(binary.BigEndian.Uint16(record[6:])) / 2,
		faults:   float64(binary.BigEndian.Uint16(record[8:])),
	}
	if backend == nil || b.armOf(backend) != index || counts.outcomes == 0 {
		return
	}
	if counts.payoff+counts.faults <= counts.outcomes {
		b.applyPeerCounts(backend, counts)
	}
}

// receiveHealthReport handles a health report.
func (b *Balancer) receiveHealthReport(message api.MessageReceived) {
	kind := healthReportKind(message.Data[0])
	for rest := message.Data[kindSize:]; len(rest) >= backendIDSize; rest = rest[backendIDSize:] {
		backend := b.backends[api.BackendID(binary.BigEndian.Uint32(rest))]
		if backend == nil || !backend.listed {
			continue
		}
		switch kind {
		case reportUnhealthy:
			b.handleUnhealthyReport(backend, message.From)
		case reportConfirmed:
			b.ejectOnReports(backend)
		case reportRecovered:
			backend.broadcastAt = 0
			b.advanceHealth(backend, peerFoundHealthy)
		}
	}
}
