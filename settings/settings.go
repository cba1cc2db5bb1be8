package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/zinniaroute/zinniaroute/document"
)

// Process holds the settings that entries and controls share.
type Process struct {
	// Name identifies the VM.
	Name string `json:"name"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Operations is the address on which the process serves metrics, state dumps and health checks.
	Operations netip.AddrPort `json:"operations"`
	LogLevel   string         `json:"logLevel"`
}

// Entry holds the settings of an entry process.
type Entry struct {
	Process Process `json:"process"`
	// Listen is the address on which the entry serves callers.
	Listen netip.AddrPort `json:"listen"`
	// Controls holds the addresses of control processes in order of preference; the VM's own comes first.
	Controls []netip.AddrPort `json:"controls"`
	// DrainWait is the time of a graceful shutdown during which health checks fail but new connections are still
	// accepted.
	DrainWait document.Duration `json:"drainWait"`
	// DrainLimit is the longest time that a graceful shutdown waits for requests in flight.
	DrainLimit document.Duration `json:"drainLimit"`
	// RequestLimit is the longest time that a request without a deadline may take.
	RequestLimit document.Duration `json:"requestLimit"`
	// BodyLimit is the longest time that a request body may take to arrive.
	BodyLimit document.Duration `json:"bodyLimit"`
	// StallLimit is the longest time that an endpoint may send nothing within a streamed answer.
	StallLimit document.Duration `json:"stallLimit"`
	// MaxBodyBytes is the largest body of a model request in bytes.
	MaxBodyBytes int `json:"maxBodyBytes"`
	// MaxInFlight is the largest number of requests that the process handles at once.
	MaxInFlight int `json:"maxInFlight"`
}

// Control holds the settings of a control process.
type Control struct {
	Process Process `json:"process"`
	// Listen is the address on which the control serves peers and entries.
	Listen netip.AddrPort `json:"listen"`
	// Advertise is the address that the control announces to peers, if it differs from Listen.
	Advertise netip.AddrPort `json:"advertise,omitzero"`
	// KeyValue is the address of the platform's key-value service.
	KeyValue netip.AddrPort `json:"keyValue"`
	// VMList is the address of the platform's list of VMs.
	VMList netip.AddrPort `json:"vmList"`
	// Seeds holds the addresses of peers to contact before the VM list is available.
	Seeds []netip.AddrPort `json:"seeds"`
}

// DefaultEntry returns an entry's settings with the defaults of optional fields.
func DefaultEntry() Entry {
	return Entry{
		Process:      Process{LogLevel: "info"},
		DrainWait:    document.NewDuration(5 * time.Second),
		DrainLimit:   document.NewDuration(10 * time.Minute),
		RequestLimit: document.NewDuration(5 * time.Minute),
		BodyLimit:    document.NewDuration(15 * time.Second),
		StallLimit:   document.NewDuration(20 * time.Second),
		MaxBodyBytes: 4 << 20,
		MaxInFlight:  4096,
	}
}

// DefaultControl returns a control's settings with the defaults of optional fields.
func DefaultControl() Control {
	return Control{Process: Process{LogLevel: "info"}}
}

// checker validates decoded settings and collects the faults.
type checker struct {
	positions *document.Positions
	findings  document.Findings
}

func (c *checker) report(path, format string, args ...any) {
	c.findings = append(c.findings, document.Finding{
		Position: c.positions.At(path),
		Message:  path + ": " + fmt.Sprintf(format, args...),
	})
}

func (c *checker) address(path string, address netip.AddrPort) {
	if !address.IsValid() {
		c.report(path, "missing: an IP address with a port is needed")
	}
}

func (c *checker) addresses(path string, addresses []netip.AddrPort) {
	for i, address := range addresses {
		c.address(fmt.Sprintf("%s[%d]", path, i), address)
	}
}

func (c *checker) positive(path string, span document.Duration) {
	if span.Duration <= 0 {
		c.report(path, "must be greater than zero")
	}
}

func (c *checker) process(p Process) {
	if p.Name == "" {
		c.report("process.name", "missing")
	}
	if p.Domain == "" {
		c.report("process.domain", "missing: the VM's failure domain is needed")
	}
	c.address("process.operations", p.Operations)
	if _, err := logrus.ParseLevel(p.LogLevel); err != nil {
		c.report("process.logLevel", "unknown level %q", p.LogLevel)
	}
}

// ParseEntry decodes an entry's settings, applies the overrides and validates the result.
func ParseEntry(file string, data []byte, overrides Overrides) (Entry, document.Findings) {
	entry := DefaultEntry()
	positions, findings := document.Decode(file, data, &entry)
	findings = append(findings, overrides.apply(&entry.Process, &entry.Listen, &entry.Controls)...)
	return entry, append(findings, CheckEntry(entry, positions)...)
}

// CheckEntry validates an entry's settings after the overrides have been applied.
func CheckEntry(entry Entry, positions *document.Positions) document.Findings {
	c := &checker{positions: positions}
	c.process(entry.Process)
	c.address("listen", entry.Listen)
	if len(entry.Controls) == 0 {
		c.report("controls", "missing: at least one control process is needed")
	}
	c.addresses("controls", entry.Controls)
	if entry.DrainWait.Duration < 0 {
		c.report("drainWait", "must not be negative")
	}
	c.positive("drainLimit", entry.DrainLimit)
	c.positive("requestLimit", entry.RequestLimit)
	c.positive("bodyLimit", entry.BodyLimit)
	c.positive("stallLimit", entry.StallLimit)
	if entry.MaxBodyBytes <= 0 {
		c.report("maxBodyBytes", "must be greater than zero")
	}
	if entry.MaxInFlight <= 0 {
		c.report("maxInFlight", "must be greater than zero")
	}
	return c.findings
}

// ParseControl decodes a control's settings, applies the overrides and validates the result.
func ParseControl(file string, data []byte, overrides Overrides) (Control, document.Findings) {
	control := DefaultControl()
	positions, findings := document.Decode(file, data, &control)
	findings = append(findings, overrides.apply(&control.Process, &control.Listen, nil)...)
	return control, append(findings, CheckControl(control, positions)...)
}

// CheckControl validates a control's settings after the overrides have been applied.
func CheckControl(control Control, positions *document.Positions) document.Findings {
	c := &checker{positions: positions}
	c.process(control.Process)
	c.address("listen", control.Listen)
	c.address("keyValue", control.KeyValue)
	c.address("vmList", control.VMList)
	c.addresses("seeds", control.Seeds)
	return c.findings
}

// ReadFile reads a settings file; the error names the step that failed.
func ReadFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	return data, errors.Wrap(err, "read settings")
}

// Level returns the parsed log level, or info when the level is invalid.
func (p Process) Level() logrus.Level {
	level, err := logrus.ParseLevel(p.LogLevel)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}
