package settings

import (
	"net/netip"

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
