package callerconn

import "time"

const (
	// connectionBytes is charged for an open connection: its goroutines, read and write buffers and entries in tables.
	connectionBytes = 32 << 10
	// headerByteCost is charged for each byte of a header, headerLineCost for each line: the decoded form of a short line
	// takes many times its length.
	headerByteCost = 3
	headerLineCost = 192
	// reservedDescriptors is the number of descriptors that are set aside for files.
	reservedDescriptors = 200
	// callerDescriptorShare is the part of the other descriptors that callers get, one in so many. The holder of the
	// schedule needs the rest: one or two for each of several hundred workers, and those of the store.
	callerDescriptorShare = 4
	// callerMemoryShare is the part of the memory that callers get, one in so many, decodeMemoryShare that for decoded
	// bodies. Both together are about half of the soft memory limit of the Go runtime, which is 0.7 of the memory.
	callerMemoryShare = 4
	decodeMemoryShare = 12
	// minConnections and minBytes leave room for a few callers on a VM of any size.
	minConnections = 16
	minBytes       = 4 << 20
	mebibyte       = 1 << 20
)

const (
	// progressWindow is how far ahead of minPace a connection can get: the longest pause that costs a steady sender
	// nothing, such as the cut of a link for some seconds.
	progressWindow = 5 * time.Second
	// minPace is the number of bytes per second with which a connection keeps its place. A link of 10 Mbit/s gives each of
	// 80 callers about 15,000.
	minPace = 2048
	// steadyGap is the pause after which a connection no longer counts as one that sends steadily.
	steadyGap = 250 * time.Millisecond
	// stallTime is the time by which a body may fall behind minPace, after progressWindow, before its connection is closed
	// even if no budget is short.
	stallTime = 30 * time.Second
	// budgetWait bounds the wait for a part of the budget of bytes.
	budgetWait = 2 * time.Second
	// drainTime bounds the wait for the rest of a request that has been answered before it arrived completely.
	drainTime = 500 * time.Millisecond
	// refusalWriteTime bounds the sending of a refusal to a caller that reads nothing.
	refusalWriteTime = time.Second
	// recheckInterval is the interval at which a wait looks for a connection that has become closable.
	recheckInterval = 25 * time.Millisecond
)

// Limits bounds the resources that the callers of a process can take together.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the memory for connections, headers and bodies together; BodyBytes is the part of it that bodies may take, 0
	// if all of it.
	Bytes     int64
	BodyBytes int64
	// DecodeBytes is the memory for decoded bodies. A request for more waits.
	DecodeBytes int64
}

// LimitsFor returns the limits of a process with the given memory in MB and number of descriptors.
func LimitsFor(memoryMB int64, descriptors int) Limits {
	memory := memoryMB * mebibyte
	l := Limits{Bytes: max(minBytes, memory/callerMemoryShare), DecodeBytes: max(minBytes, memory/decodeMemoryShare)}
	byMemory := int(l.Bytes / 2 / connectionBytes)
	l.Connections = max(minConnections, min(byMemory, (descriptors-reservedDescriptors)/callerDescriptorShare))
	return l
}

// SmallLimits returns the limits of a listener without bodies, such as one for health checks.
func SmallLimits(connections int) Limits {
	return Limits{Connections: connections, Bytes: int64(connections) * 2 * connectionBytes, DecodeBytes: minBytes}
}

// BodyLimits returns limits with room for the given number of connections and bytes of bodies.
func BodyLimits(connections int, bodyBytes int64) Limits {
	return Limits{Connections: connections, BodyBytes: bodyBytes, Bytes: bodyBytes + int64(connections)*2*connectionBytes,
		DecodeBytes: max(minBytes, bodyBytes/4)}
}

// RequestLimits bounds one request. Values that are not positive select the defaults.
type RequestLimits struct {
	// HeaderBytes is the maximum size of the request line and the header.
	HeaderBytes int
	// HeaderTimeout is the maximum time in which a header arrives, IdleTimeout that between two requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// BodyTimeout is the maximum time in which a body arrives; 0 for none.
	BodyTimeout time.Duration
}

// The defaults of RequestLimits.
const (
	DefaultHeaderBytes   = 16 << 10
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// withDefaults returns the limits with the defaults for values that are not positive.
func (r RequestLimits) withDefaults() RequestLimits {
	if r.HeaderBytes <= 0 {
		r.HeaderBytes = DefaultHeaderBytes
	}
	if r.HeaderTimeout <= 0 {
		r.HeaderTimeout = DefaultHeaderTimeout
	}
	if r.IdleTimeout <= 0 {
		r.IdleTimeout = DefaultIdleTimeout
	}
	return r
}
