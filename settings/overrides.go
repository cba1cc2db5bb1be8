package settings

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/zinniaroute/zinniaroute/document"
)

// Overrides holds values from the command line, which take precedence over the file. Empty values change nothing.
type Overrides struct {
	Name       string
	Domain     string
	Operations string
	Listen     string
	Controls   []string
}

func (o Overrides) apply(process *Process, listen *netip.AddrPort, controls *[]netip.AddrPort) document.Findings {
	var findings document.Findings
	if o.Name != "" {
		process.Name = o.Name
	}
	if o.Domain != "" {
		process.Domain = o.Domain
	}
	findings = append(findings, overrideAddress("--operations", o.Operations, &process.Operations)...)
	findings = append(findings, overrideAddress("--listen", o.Listen, listen)...)
	if controls == nil || len(o.Controls) == 0 {
		return findings
	}
	*controls = make([]netip.AddrPort, len(o.Controls))
	for i, text := range o.Controls {
		findings = append(findings, overrideAddress("--control", text, &(*controls)[i])...)
	}
	return findings
}

func overrideAddress(flag, text string, target *netip.AddrPort) document.Findings {
	if text == "" {
		return nil
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return document.Findings{{Object: flag, Message: "expected an IP address with a port, found " + text}}
	}
	*target = address
	return nil
}

// AllowanceOverrides holds bounds on allowances from the command line, which take precedence over the file: Window in seconds,
// Overage and Slack as numbers. Empty values change nothing.
type AllowanceOverrides struct{ Window, Overage, Slack string }

// Apply replaces the bounds, and returns a finding for each value that is not a number from 0 up.
func (o AllowanceOverrides) Apply(b *Bounds) document.Findings {
	seconds := b.AllowanceWindow.Seconds()
	findings := overrideNumber("--allowance-window", o.Window, &seconds)
	b.AllowanceWindow.Duration = min(maxAllowanceWindow, time.Duration(min(seconds, maxWindowSeconds)*float64(time.Second)))
	findings = append(findings, overrideNumber("--allowance-overage", o.Overage, &b.AllowanceOverage)...)
	return append(findings, overrideNumber("--allowance-slack", o.Slack, &b.AllowanceSlack)...)
}

// maxWindowSeconds keeps a window within the range of durations.
const maxWindowSeconds = 1e6

func overrideNumber(flag, text string, target *float64) document.Findings {
	if text == "" {
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0) {
		return document.Findings{{Object: flag, Message: "expected a number from 0 up, found " + text}}
	}
	*target = value
	return nil
}
