package budget

// The least limits of a machine that an instance can run with.
const (
	// MinMemory leaves room for one body of 4 MiB beside the process itself.
	MinMemory = 96 * MB
	// MinDescriptors leaves a hundred for connections.
	MinDescriptors = reservedFiles + 100
)

const (
	// softMemoryRatio is the share of the memory that is the soft limit of the Go runtime; near
	// it the garbage collector runs more often. The rest is for fragmentation, and for data
	// that the kernel has received.
	softMemoryRatio = 0.8
	// processBytes is the memory of the process without callers: the runtime, and the view of
	// a large installation.
	processBytes = 20 * MB
	// liveRatio is the share of the heap that isn't garbage, with a margin: the collector runs
	// when the heap has grown by 15 %, and what is evicted is garbage until then.
	liveRatio = 0.85
	// responseRatio is the share of responses.
	responseRatio = 0.15
	// largeRatio is the part of the budget for requests that large ones may use.
	largeRatio = 0.8
	// peerRatio is the share of the memory that messages from peers may take. A message has up
	// to 4 MB, and about three times as much while it is decoded.
	peerRatio = 0.13
	// probeBytes bounds the memory of readiness checks, and that of metrics.
	probeBytes = 2 * MB
)

const (
	// reservedFiles is the number of descriptors that are reserved for files.
	reservedFiles = 200
	// endpointRatio, peerListenRatio and peerDialRatio are the shares of connections to
	// endpoints, from peers and to peers. A fleet has up to 300 instances.
	endpointRatio   = 0.35
	peerListenRatio = 0.13
	peerDialRatio   = 0.04
	// forwardedRatio and idleRatio are the shares of the connections to endpoints for requests
	// and for idle connections; the rest is for probes.
	forwardedRatio = 0.75
	idleRatio      = 0.2
	// storeConns is the number of connections to the store.
	storeConns = 8
	// probeRatio and maxProbes bound the connections of readiness checks, and those of metrics.
	probeRatio = 0.04
	maxProbes  = 32
)

// Shares divides a machine's limits among the parts of an instance. A bound of 0 means none.
type Shares struct {
	Callers, Peers, Ready, Metrics Limits
	// SoftMemory is the soft memory limit of the Go runtime.
	SoftMemory Bytes
	// IdleEndpoints bounds the idle connections to endpoints.
	IdleEndpoints int
}

// Divide divides a machine's memory and descriptors; either may be 0 for no limit.
func Divide(memory Bytes, descriptors int) Shares {
	var s Shares
	if memory > 0 {
		s.SoftMemory = Bytes(float64(memory) * softMemoryRatio)
		total := float64(s.SoftMemory-processBytes) * liveRatio
		s.Callers.Responses = Bytes(total * responseRatio)
		s.Callers.Bytes = Bytes(total) - s.Callers.Responses
		s.Callers.Large = Bytes(float64(s.Callers.Bytes) * largeRatio)
		s.Peers.Bytes = Bytes(float64(memory) * peerRatio)
		s.Ready.Bytes, s.Metrics.Bytes = probeBytes, probeBytes
	}
	if descriptors > 0 {
		usable := descriptors - reservedFiles
		share := func(ratio float64) int { return int(float64(usable) * ratio) }
		probes := min(maxProbes, share(probeRatio))
		s.Ready.Connections, s.Metrics.Connections = probes, probes
		s.Peers.Connections = share(peerListenRatio)
		endpoints := share(endpointRatio)
		s.Callers.Forwarded = int(float64(endpoints) * forwardedRatio)
		s.IdleEndpoints = int(float64(endpoints) * idleRatio)
		s.Callers.Connections = usable - endpoints - s.Peers.Connections - share(peerDialRatio) - storeConns - 2*probes
	}
	return s
}
