package settings

import (
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/document"
)

// Gateway holds the settings of a gateway, which the platform fills in from deploy/settings.jsonc.
type Gateway struct {
	// Name identifies the VM.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Callers is the address on which callers are answered.
	Callers netip.AddrPort `json:"callers"`
	// Readiness is the address on which the platform asks whether the VM takes callers.
	Readiness netip.AddrPort `json:"readiness"`
	// Address is the VM's own address.
	Address netip.Addr `json:"address"`
	// Ports are the first and the last port that are free for the system's own traffic.
	Ports []int `json:"ports"`
	// Store is the address of the platform's store.
	Store netip.AddrPort `json:"store"`
	// MemoryMB is the memory of the VM's process in megabytes.
	MemoryMB int    `json:"memoryMB"`
	Bounds   Bounds `json:"bounds"`
}

// Bounds are the times and figures that the platform holds the system to.
type Bounds struct {
	// Grace is the time from a request to stop until the process is killed.
	Grace document.Duration `json:"grace"`
	// TakeOver is the time that must pass between the orders of two holders to one runner.
	TakeOver document.Duration `json:"takeOver"`
	// RepeatRatio and RepeatSlack bound the repeats within RepeatWindow over all VMs.
	RepeatRatio  float64           `json:"repeatRatio"`
	RepeatSlack  float64           `json:"repeatSlack"`
	RepeatWindow document.Duration `json:"repeatWindow"`
	// LoadWindow and LoadOverage bound the loads from the weight store.
	LoadWindow  document.Duration `json:"loadWindow"`
	LoadOverage float64           `json:"loadOverage"`
}

// defaultGatewayMemoryMB is assumed when the file names no memory.
const defaultGatewayMemoryMB = 256

// ParseGateway decodes and checks the settings of a gateway.
func ParseGateway(file string, data []byte) (Gateway, document.Findings) {
	s := Gateway{MemoryMB: defaultGatewayMemoryMB}
	places, findings := document.Decode(file, data, &s)
	c := &checker{places: places, findings: findings}
	if s.Name == "" {
		c.report("name", "missing")
	}
	if s.Domain == "" {
		c.report("domain", "missing: the VM's failure domain is needed")
	}
	if !s.Address.IsValid() {
		c.report("address", "missing: an IP address is needed")
	}
	c.address("callers", s.Callers)
	c.address("readiness", s.Readiness)
	c.address("store", s.Store)
	c.ports(s.Ports)
	c.bounds(s.Bounds)
	return s, c.findings
}

// portsNeeded is the number of internal ports in use: one for peers, one for metrics and state.
const portsNeeded = 2

func (c *checker) ports(ports []int) {
	if len(ports) != 2 || ports[0] <= 0 || ports[1]-ports[0]+1 < portsNeeded {
		c.report("ports", "the first and the last of at least %d ports are needed", portsNeeded)
	}
}

func (c *checker) bounds(b Bounds) {
	c.positive("bounds.grace", b.Grace)
	c.positive("bounds.takeOver", b.TakeOver)
	c.positive("bounds.repeatWindow", b.RepeatWindow)
	c.positive("bounds.loadWindow", b.LoadWindow)
	if b.RepeatRatio < 0 || b.RepeatSlack < 0 {
		c.report("bounds.repeatRatio", "must not be negative")
	}
}

// Peers returns the address for the system's own calls between VMs.
func (g Gateway) Peers() netip.AddrPort { return netip.AddrPortFrom(g.Address, uint16(g.Ports[0])) }

// Operations returns the address of metrics and state dumps.
func (g Gateway) Operations() netip.AddrPort {
	return netip.AddrPortFrom(g.Address, uint16(g.Ports[0]+1))
}

// StopLimit returns how long a planned stop waits for requests in flight, which leaves time to end the process.
func StopLimit(b Bounds) time.Duration { return b.Grace.Duration - stopMargin }

// stopMargin is the time that the process needs to end.
const stopMargin = 250 * time.Millisecond
