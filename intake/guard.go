package intake

import (
	"cmp"
	"math"
	"net"
	"runtime/debug"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Settings are the limits of a process. A value of 0 means the default.
type Settings struct {
	MemoryMB           int           // memory that the process may use, in MB
	IntakeMB           int           // memory that callers may occupy, in MB
	MaxFiles           int           // file descriptors that the process may use
	MaxConnections     int           // connections of callers
	AddressConnections int           // connections of one IP address; 0 for no limit of its own
	StallTime          time.Duration // time without progress after which a caller may be given up
}

const (
	// defaultMemoryMB applies when the process has no such limit.
	defaultMemoryMB = 512
	// Callers may occupy 1/intakeDivisor of the memory by default.
	intakeDivisor = 4
	// callersDivisor, peersDivisor and othersDivisor are the divisors of the file descriptors that
	// give the connections of callers, of other instances, and of each other listener. What is left
	// is for upstreams, of which a request may use two at a time, and for the platform.
	callersDivisor = 4
	peersDivisor   = 6
	othersDivisor  = 32
)

// memoryBytes returns the memory in bytes that callers may occupy.
func (s Settings) memoryBytes() int {
	if s.IntakeMB > 0 {
		return s.IntakeMB << 20
	}
	return cmp.Or(s.MemoryMB, defaultMemoryMB) << 20 / intakeDivisor
}

// connections returns a part of the file descriptors.
func (s Settings) connections(divisor int) int {
	return max(1, s.MaxFiles/divisor)
}

// Guard bounds what callers make a process hold, on all its listeners.
type Guard struct {
	*Memory
	settings Settings
}

// NewGuard returns a Guard.
func NewGuard(s Settings, log *zap.Logger, meter metric.Meter, now func() time.Time) (*Guard, error) {
	refusals, err := NewRefusals(log, meter, now)
	if err != nil {
		return nil, err
	}
	if s.MaxFiles == 0 {
		if s.MaxFiles, err = openFilesLimit(); err != nil {
			return nil, err
		}
	}
	return &Guard{Memory: NewMemory(s.memoryBytes(), s.StallTime, now, refusals), settings: s}, nil
}

// openFilesLimit returns the number of file descriptors that the system allows the process.
func openFilesLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, oops.In("intake").With("step", "read the limit of open files").Wrap(err)
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// SetSettings replaces the settings; those of connections have no effect.
func (g *Guard) SetSettings(s Settings) { g.SetLimit(s.memoryBytes()) }

// Callers bounds the connections of callers.
func (g *Guard) Callers(l net.Listener) net.Listener {
	limits := Limits{Connections: cmp.Or(g.settings.MaxConnections, g.settings.connections(callersDivisor)), PerAddress: g.settings.AddressConnections}
	return NewListener(l, limits, g.Memory)
}

// Peers bounds the connections of other instances.
func (g *Guard) Peers(l net.Listener) net.Listener {
	return NewListener(l, Limits{Connections: g.settings.connections(peersDivisor)}, g.Memory)
}

// Others bounds the connections of another listener, such as that for metrics.
func (g *Guard) Others(l net.Listener) net.Listener {
	return NewListener(l, Limits{Connections: g.settings.connections(othersDivisor)}, g.Memory)
}

// The Go memory limit is heapLimitNumerator/heapLimitDenominator of the memory of the process. The
// rest is for stacks, kernel buffers and memory that is returned late.
const (
	heapLimitNumerator   = 6
	heapLimitDenominator = 10
)

// LimitHeap sets the Go memory limit for a process with mb MiB of memory; 0 leaves the limit
// unchanged.
func LimitHeap(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * heapLimitNumerator / heapLimitDenominator)
	}
}
