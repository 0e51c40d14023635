package proxy

import (
	"net"
	"os"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sagelever/internal/proxy/retry"
)

// refusalBasis is what a 503 of the proxy rests on. The 503 promises that the request was not executed and never will
// be.
type refusalBasis uint8

const (
	notAttempted     refusalBasis = iota // the request was not assigned to a backend
	nothingWritten                       // no attempt wrote any part of the request
	statedByBackend                      // a backend received the request, and stated that it did not execute it
	refusalBaseCount                     // number of bases
)

func (b refusalBasis) String() string {
	return [...]string{"not attempted", "nothing written", "stated by a backend"}[b]
}

// attemptRecord is how an attempt ended. It identifies the connection, so that the record of the backend can be compared
// with that of the proxy.
type attemptRecord struct {
	backendID  string
	localAddr  net.Addr // of the connection to the backend; nil if there was none
	remoteAddr net.Addr
	phase      retry.Phase
	event      retry.Event
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("backend", r.backendID)
	encoder.AddString("local", formatAddr(r.localAddr))
	encoder.AddString("remote", formatAddr(r.remoteAddr))
	encoder.AddString("phase", r.phase.String())
	encoder.AddString("event", r.event.String())
	return nil
}

// formatAddr returns an address as text, or "" for none. Records format their addresses only when they are logged.
func formatAddr(addr net.Addr) string {
	if addr == nil {
		return ""
	}
	return addr.String()
}

// attemptRecords are the attempts of one request that have ended, in their order.
type attemptRecords []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (r attemptRecords) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, record := range r {
		if err := encoder.AppendObject(record); err != nil {
			return err
		}
	}
	return nil
}

// basis returns what a refusal after these attempts rests on.
func (r attemptRecords) basis() refusalBasis {
	switch {
	case len(r) == 0:
		return notAttempted
	case slices.ContainsFunc(r, func(record attemptRecord) bool { return record.event.IsResponse() }):
		return statedByBackend
	}
	return nothingWritten
}

// record returns the record of an attempt that has ended.
func (r *attemptResult) record() attemptRecord {
	record := attemptRecord{backendID: r.attempt.backendID, phase: r.phase, event: r.event}
	if conn := r.attempt.conn.Load(); conn != nil {
		record.localAddr = conn.LocalAddr()
		record.remoteAddr = conn.RemoteAddr()
	}
	return record
}

// refusalCounters count refused requests by their basis.
type refusalCounters [refusalBaseCount]atomic.Int64

// loadAll returns the counts in the order of the bases.
func (c *refusalCounters) loadAll() []int64 {
	counts := make([]int64, len(c))
	for basis := range c {
		counts[basis] = c[basis].Load()
	}
	return counts
}

// recordRefusal counts a refusal and logs it at debug level, with all attempts of the request.
func (p *Proxy) recordRefusal(tryID string, attempts attemptRecords, reason string) {
	basis := attempts.basis()
	p.counters.refused[basis].Add(1)
	if entry := p.log.Check(zap.DebugLevel, "request refused"); entry != nil {
		entry.Write(
			zap.String("tryId", tryID),
			zap.Int("pid", os.Getpid()),
			zap.Stringer("basis", basis),
			zap.String("reason", reason),
			zap.Array("attempts", attempts))
	}
}
