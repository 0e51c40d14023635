package policy

import (
	"encoding/binary"

	"sagelever/internal/agent/api"
)

// Messages between agents are datagrams of at most 256 bytes, big-endian. There are two kinds, distinguished by their
// length. A report of counts has the build on trial in two bytes and then records of ten bytes, so its length is 2 modulo
// 10. A health report has its kind in one byte and then backend ids of four bytes, so its length is 1 modulo 4. The one is
// even and the other odd.
const (
	maxMessageSize   = 256
	buildSize        = 2
	recordSize       = 10 // backend id 4, arm (the top bit) and outcomes 2, twice the payoff 2, faults 2
	maxReportSize    = maxMessageSize - buildSize - recordSize
	kindSize         = 1
	backendIDSize    = 4
	minHealthReport  = kindSize + backendIDSize
	maxHealthIDs     = (maxMessageSize - kindSize) / backendIDSize
	armBit           = 15      // of a record's outcomes
	maxCountInRecord = 1 << 14 // keeps twice a payoff within two bytes
)

// healthReportKind says what a health report is about; the values are those in the message.
type healthReportKind int

const (
	reportUnhealthy   healthReportKind = iota // this agent found them unhealthy
	reportRecovered                           // this agent found them healthy again
	reportConfirmed                           // enough agents found them unhealthy
	healthReportKinds                         // how many kinds there are
)

// sendToFirst sends a message to the agents with the lowest numbers, except for this one.
func (b *Balancer) sendToFirst(agents int, data []byte) {
	for to := range agents {
		if to != int(b.peerNumber()) {
			b.emit(api.SendMessage{To: api.PeerNumber(to), Data: data})
		}
	}
}

func (b *Balancer) peerNumber() api.PeerNumber { return api.PeerNumber(b.settings.number) }

// reportSize is the size of the report of the counts that other agents have not been told, 0 if there are none.
func (b *Balancer) reportSize() int {
	size := 0
	for _, backend := range b.ordered {
		if backend.unreported.outcomes > 0 && size < maxReportSize {
			size += recordSize
		}
	}
	return size
}

// reportMessage is the report of the counts that other agents have not been told, and marks them as told. What does
// not fit waits for the next report.
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

// healthMessage is a health report on backends; those that do not fit are left out.
func healthMessage(kind healthReportKind, ids []api.BackendID) []byte {
	data := []byte{byte(kind)}
	for _, id := range ids[:min(len(ids), maxHealthIDs)] {
		data = binary.BigEndian.AppendUint32(data, uint32(id))
	}
	return data
}

// receiveMessage takes a message of another agent. One that cannot be read, or is about another build, is ignored.
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

// receiveCounts takes one record of a report.
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
		b.learnFromPeer(backend, counts)
	}
}

// receiveHealthReport takes a health report.
func (b *Balancer) receiveHealthReport(message api.MessageReceived) {
	kind := healthReportKind(message.Data[0])
	for rest := message.Data[kindSize:]; len(rest) >= backendIDSize; rest = rest[backendIDSize:] {
		backend := b.backends[api.BackendID(binary.BigEndian.Uint32(rest))]
		if backend == nil || !backend.listed {
			continue
		}
		switch kind {
		case reportUnhealthy:
			b.noteUnhealthyReport(backend, message.From)
		case reportConfirmed:
			b.ejectOnReports(backend)
		case reportRecovered:
			backend.broadcastAt = 0
			b.advanceHealth(backend, peerFoundHealthy)
		}
	}
}
