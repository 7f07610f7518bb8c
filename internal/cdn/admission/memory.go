package admission

import "github.com/prometheus/client_golang/prometheus"

// Shares are the fractions of a process's memory that callers can make it hold.
type Shares struct {
	Requests    float64 // bound of the next four together
	Bodies      float64 // bodies of HTTP requests
	Answers     float64 // bodies of the answers of servers
	Heads       float64 // long heads of HTTP requests
	Connections float64 // connections of HTTP requests
	Messages    float64 // messages from other processes
	Peers       float64 // connections of other processes
	Replies     float64 // replies to other processes, and answers to HTTP requests while they are written
	Received    float64 // replies of other processes while they are read
}

// The shares of the programs. What is left is for the program itself, its state and the garbage of the runtime.
var (
	// ProxyShares leave room for a cache of a quarter of the memory.
	ProxyShares = Shares{Requests: 0.3, Bodies: 0.2, Answers: 0.2, Heads: 0.06, Connections: 0.12, Messages: 0.05, Peers: 0.06, Replies: 0.08, Received: 0.2}
	// RegistryShares are those of a process that takes configurations from operators.
	RegistryShares = Shares{Requests: 0.3, Bodies: 0.2, Heads: 0.06, Connections: 0.1, Replies: 0.1, Received: 0.15}
	// ConfigStoreShares are those of a process that takes messages alone.
	ConfigStoreShares = Shares{Messages: 0.16, Peers: 0.08, Replies: 0.12, Received: 0.1}
	// ProbeShares are those of an endpoint that the platform reads, for its metrics or readiness, whatever others do.
	ProbeShares = Shares{Requests: 0.02, Heads: 0.01, Connections: 0.01}
)

// minReceived is the least budget for replies that are read: the state of the largest deployments must fit.
const minReceived = 16 << 20

// Memory holds the budgets of one process.
type Memory struct {
	Bodies, Answers, Heads, Connections, Messages, Peers, Replies, Received *Budget
}

// NewMemory returns the budgets of a process that has so many MB of memory.
func NewMemory(memoryMB int, shares Shares) *Memory {
	bytes := func(share float64) int64 { return int64(share * float64(memoryMB<<20)) }
	requests := NewBudget(bytes(shares.Requests), nil)
	return &Memory{Bodies: NewBudget(bytes(shares.Bodies), requests), Answers: NewBudget(bytes(shares.Answers), requests), Heads: NewBudget(bytes(shares.Heads), requests),
		Connections: NewBudget(bytes(shares.Connections), requests), Messages: NewBudget(bytes(shares.Messages), nil),
		Peers: NewBudget(bytes(shares.Peers), nil), Replies: NewBudget(bytes(shares.Replies), nil),
		Received: NewBudget(max(bytes(shares.Received), minReceived), nil)}
}

// Used returns the bytes that are held now.
func (m *Memory) Used() (bytes int64) {
	for _, budget := range m.byName() {
		bytes += budget.Used()
	}
	return bytes
}

var (
	usedDescription = prometheus.NewDesc("cedarmast_admission_used_bytes", "Bytes that callers make the process hold.", []string{"budget"}, nil)
	sizeDescription = prometheus.NewDesc("cedarmast_admission_limit_bytes", "Bytes that callers can make the process hold.", []string{"budget"}, nil)
	refusedCounter  = prometheus.NewDesc("cedarmast_admission_refused_total", "Connections, requests and messages that did not fit.", []string{"budget"}, nil)
)

// byName returns the budgets by their names in the metrics.
func (m *Memory) byName() map[string]*Budget {
	return map[string]*Budget{"bodies": m.Bodies, "answers": m.Answers, "heads": m.Heads, "connections": m.Connections, "messages": m.Messages, "peers": m.Peers, "replies": m.Replies, "received": m.Received}
}

// Describe implements prometheus.Collector.
func (m *Memory) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- usedDescription
	descriptions <- sizeDescription
	descriptions <- refusedCounter
}

// Collect implements prometheus.Collector.
func (m *Memory) Collect(metrics chan<- prometheus.Metric) {
	for name, budget := range m.byName() {
		metrics <- prometheus.MustNewConstMetric(usedDescription, prometheus.GaugeValue, float64(budget.Used()), name)
		metrics <- prometheus.MustNewConstMetric(sizeDescription, prometheus.GaugeValue, float64(budget.Limit()), name)
		metrics <- prometheus.MustNewConstMetric(refusedCounter, prometheus.CounterValue, float64(budget.Refused()), name)
	}
}
