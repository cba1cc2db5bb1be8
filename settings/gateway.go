package settings

import (
	"net/netip"
	"time"

	"github.com/zinniaroute/zinniaroute/document"
)

// Gateway holds the settings of a gateway. The platform fills in the template deploy/settings.jsonc.
type Gateway struct {
	// Name identifies the VM.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Callers is the address on which the gateway serves callers.
	Callers netip.AddrPort `json:"callers"`
	// Readiness is the address of the platform's readiness check.
	Readiness netip.AddrPort `json:"readiness"`
	// Address is the VM's own address.
	Address netip.Addr `json:"address"`
	// Ports holds the first and the last port of the range for traffic between VMs and for operators.
	Ports []int `json:"ports"`
	// Store is the address of the platform's key-value store.
	Store netip.AddrPort `json:"store"`
	// MemoryMB is the memory that is available to the gateway process, in megabytes.
	MemoryMB int `json:"memoryMB"`
	// LinkMbps is the speed of the VM's link in megabits per second. VMs with a faster link are preferred as aggregator.
	LinkMbps float64 `json:"linkMbps"`
	// StoreWritesPerSecond is the number of writing calls a second that the store takes from all VMs together.
	StoreWritesPerSecond float64 `json:"storeWrites"`
	// PrefillReservations requests that the prompts of streams are reserved at the owners of runners before they are sent.
	PrefillReservations bool `json:"prefillReservations"`
	// LearnedSpeeds says whether choices and placement use the learned speeds of runners. Nil means that they do. It is turned off for
	// comparisons; the speeds are measured, exchanged and shown nevertheless.
	LearnedSpeeds *bool  `json:"learnedSpeeds,omitempty"`
	Bounds        Bounds `json:"bounds"`
}

// Bounds holds the limits that the platform imposes on the system.
type Bounds struct {
	// Grace is the time from the stop signal until the platform kills the process.
	Grace document.Duration `json:"grace"`
	// OwnerChangePause is the minimum time between the last order of one owner to a runner and the first order of the
	// next owner.
	OwnerChangePause document.Duration `json:"takeOver"`
	// RunnerDrain is the time for which a runner goes on serving after the store has accepted that it leaves. Zero means that it is
	// not known: VMs then use old lists of runners without asking the store.
	RunnerDrain document.Duration `json:"runnerDrain"`
	// ConfigurationDelay is the time within which a configuration must be in force at all VMs. Zero means that it is not known: VMs then
	// answer by an old configuration that a route does not exist.
	ConfigurationDelay document.Duration `json:"configurationDelay"`
	// RetryRatio and RetrySlack limit the retries of all VMs within RetryWindow: a share of the requests, plus a fixed
	// number.
	RetryRatio  float64           `json:"repeatRatio"`
	RetrySlack  float64           `json:"repeatSlack"`
	RetryWindow document.Duration `json:"repeatWindow"`
	// LoadWindow and LoadOverage limit the loads from the weight store: within LoadWindow, the loads of a service may
	// reach LoadOverage times its rate limit.
	LoadWindow  document.Duration `json:"loadWindow"`
	LoadOverage float64           `json:"loadOverage"`
	// AllowanceWindow, AllowanceOverage and AllowanceSlack limit what all VMs together spend for a workspace: within
	// AllowanceWindow its rate and burst, exceeded by a part of AllowanceOverage and by AllowanceSlack at the most. Deployments
	// without workspaces do not set them.
	AllowanceWindow  document.Duration `json:"allowanceWindow"`
	AllowanceOverage float64           `json:"allowanceOverage"`
	AllowanceSlack   float64           `json:"allowanceSlack"`
}

// The settings that apply when the file does not set them.
const (
	defaultGatewayMemoryMB      = 256
	defaultStoreWritesPerSecond = 400
	defaultAllowanceWindow      = 8 * time.Second
	defaultAllowanceOverage     = 0.1
)

// ParseGateway decodes the settings of a gateway and returns every fault that it finds.
func ParseGateway(file string, data []byte) (Gateway, document.Findings) {
	s := Gateway{MemoryMB: defaultGatewayMemoryMB, StoreWritesPerSecond: defaultStoreWritesPerSecond}
	s.Bounds.AllowanceWindow.Duration, s.Bounds.AllowanceOverage = defaultAllowanceWindow, defaultAllowanceOverage
	positions, findings := document.Decode(file, data, &s)
	c := &checker{positions: positions, findings: findings}
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
	if s.LinkMbps < 0 {
		c.report("linkMbps", "must not be negative")
	}
	if s.StoreWritesPerSecond <= 0 {
		c.report("storeWrites", "must be positive")
	}
	c.bounds(s.Bounds)
	return s, c.findings
}

// internalPorts is the number of internal ports: one for peers, one for metrics and state dumps, and one for forwarded requests.
const internalPorts = 3

func (c *checker) ports(ports []int) {
	if len(ports) != 2 || ports[0] <= 0 || ports[1]-ports[0]+1 < internalPorts {
		c.report("ports", "the first and the last of at least %d ports are needed", internalPorts)
	}
}

// maxAllowanceWindow bounds the history of spending that VMs keep and exchange.
const maxAllowanceWindow = time.Minute

func (c *checker) bounds(b Bounds) {
	c.positive("bounds.grace", b.Grace)
	c.positive("bounds.takeOver", b.OwnerChangePause)
	c.positive("bounds.repeatWindow", b.RetryWindow)
	c.positive("bounds.loadWindow", b.LoadWindow)
	c.positive("bounds.allowanceWindow", b.AllowanceWindow)
	if b.AllowanceWindow.Duration > maxAllowanceWindow {
		c.report("bounds.allowanceWindow", "must not exceed %v", maxAllowanceWindow)
	}
	if b.AllowanceOverage < 0 || b.AllowanceSlack < 0 {
		c.report("bounds.allowanceOverage", "must not be negative")
	}
	if b.RunnerDrain.Duration < 0 {
		c.report("bounds.runnerDrain", "must not be negative")
	}
	if b.ConfigurationDelay.Duration < 0 {
		c.report("bounds.configurationDelay", "must not be negative")
	}
	if b.RetryRatio < 0 || b.RetrySlack < 0 {
		c.report("bounds.repeatRatio", "must not be negative")
	}
}

// UsesLearnedSpeeds reports whether choices and placement use the learned speeds of runners, which they do by default.
func (g Gateway) UsesLearnedSpeeds() bool { return g.LearnedSpeeds == nil || *g.LearnedSpeeds }

// PeerAddress returns the address on which the gateway serves the gateways of other VMs.
func (g Gateway) PeerAddress() netip.AddrPort {
	return netip.AddrPortFrom(g.Address, uint16(g.Ports[0]))
}

// OperationsAddress returns the address on which the gateway serves metrics and state dumps.
func (g Gateway) OperationsAddress() netip.AddrPort {
	return netip.AddrPortFrom(g.Address, uint16(g.Ports[0]+1))
}

// ForwardAddress returns the address on which the gateway takes requests that other VMs forward.
func (g Gateway) ForwardAddress() netip.AddrPort {
	return netip.AddrPortFrom(g.Address, uint16(g.Ports[0]+2))
}

// ShutdownTimeout returns how long a graceful shutdown waits for requests in flight. It is shorter than the grace
// period, so that the process exits before the platform kills it.
func ShutdownTimeout(b Bounds) time.Duration { return b.Grace.Duration - exitMargin }

// exitMargin is reserved for the exit of the process after the last request.
const exitMargin = 250 * time.Millisecond
