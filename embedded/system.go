package embedded

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/coordination/publication"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/eventlog"
	"github.com/zinniaroute/zinniaroute/protocol/operator"
	"github.com/zinniaroute/zinniaroute/protocol/platform"
	"github.com/zinniaroute/zinniaroute/samples"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/standin/bookings"
	"github.com/zinniaroute/zinniaroute/standin/engine"
	"github.com/zinniaroute/zinniaroute/standin/kvstore"
	"github.com/zinniaroute/zinniaroute/standin/vmlist"
	"github.com/zinniaroute/zinniaroute/state/catalog"
	"github.com/zinniaroute/zinniaroute/transport/control"
	"github.com/zinniaroute/zinniaroute/transport/entry"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
	"github.com/zinniaroute/zinniaroute/transport/operatorapi"
)

// Port numbers of the embedded processes. Those of a VM are relative to its first port, all others to the base port.
const (
	portKeyValue   = 0
	portVMList     = 1
	portFirstVM    = 10
	portsOfVM      = 10
	portCallers    = 0
	portEntryOps   = 1
	portPeers      = 2
	portControlOps = 3
)

const (
	// bookingTime is the time that a booking service needs for a call.
	bookingTime = 2 * time.Millisecond
	publishTry  = 200 * time.Millisecond
	readyPoll   = 100 * time.Millisecond
)

// Options configures an embedded system.
type Options struct {
	// Deployment is the name of a sample deployment.
	Deployment string
	// BasePort is the first port to use on 127.0.0.1.
	BasePort int
	// VMsPerDomain is the number of entry VMs in each failure domain.
	VMsPerDomain int
	// LoadTime is the time that an engine needs to load a base model.
	LoadTime time.Duration
	LogLevel string
	// Log receives the log lines of all processes; nil means standard error.
	Log io.Writer
}

// VM describes one entry VM of an embedded system and the addresses on which its processes listen.
type VM struct {
	Name       string
	Domain     string
	Callers    netip.AddrPort
	EntryOps   netip.AddrPort
	Peers      netip.AddrPort
	ControlOps netip.AddrPort
}

// System is a running embedded deployment.
type System struct {
	VMs      []VM
	KeyValue *kvstore.Server
	VMList   *vmlist.Server
	Engines  []*engine.Server
	set      *catalog.Set
	options  Options
	group    *group.Group
}

// Start runs a sample deployment in the group. Publish then publishes its catalog.
func Start(g *group.Group, options Options) (*System, error) {
	data, err := samples.Catalog(options.Deployment)
	if err != nil {
		return nil, errors.Wrapf(err, "deployment %q", options.Deployment)
	}
	set, _, findings := catalog.Parse(options.Deployment+".jsonc", data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	s := &System{
		KeyValue: kvstore.NewServer(),
		VMList:   vmlist.NewServer(),
		set:      set,
		options:  options,
		group:    g,
	}
	for _, start := range []func() error{s.startPlatform, s.startRunners, s.startVMs} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *System) address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(s.options.BasePort+offset))
}

func (s *System) startPlatform() error {
	keyValue, err := httpserve.Listen(s.address(portKeyValue).String())
	if err != nil {
		return err
	}
	list, err := httpserve.Listen(s.address(portVMList).String())
	if err != nil {
		return err
	}
	s.KeyValue.Start(s.group, keyValue)
	s.VMList.Start(s.group, list)
	return nil
}

func (s *System) startRunners() error {
	for i := range s.set.Runners {
		runner := &s.set.Runners[i]
		listener, err := httpserve.Listen(runner.Address.String())
		if err != nil {
			return err
		}
		if runner.Service != "" {
			bookings.NewServer(bookingTime).Start(s.group, listener)
			continue
		}
		options := engine.DefaultOptions()
		options.Accelerators = runner.Accelerators
		options.MemoryMiB = runner.MemoryMiB
		options.Fenced = runner.Fenced
		options.LoadTime = s.options.LoadTime
		server := engine.NewServer(options)
		server.Start(s.group, listener)
		s.Engines = append(s.Engines, server)
	}
	return nil
}

func (s *System) startVMs() error {
	for _, domain := range s.set.Deployment[0].Domains {
		for number := range s.options.VMsPerDomain {
			s.addVM(domain, number+1)
		}
	}
	s.VMList.Set(s.list())
	for _, vm := range s.VMs {
		if err := s.startVM(vm); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) addVM(domain string, number int) {
	base := portFirstVM + len(s.VMs)*portsOfVM
	s.VMs = append(s.VMs, VM{
		Name:       fmt.Sprintf("%s-%d", domain, number),
		Domain:     domain,
		Callers:    s.address(base + portCallers),
		EntryOps:   s.address(base + portEntryOps),
		Peers:      s.address(base + portPeers),
		ControlOps: s.address(base + portControlOps),
	})
}

func (s *System) list() []platform.TargetGroup {
	list := make([]platform.TargetGroup, 0, len(s.VMs)+len(s.set.Runners))
	for _, vm := range s.VMs {
		list = append(list, target(vm.Name, vm.Domain, platform.RoleEntry, vm.Peers))
	}
	for i := range s.set.Runners {
		runner := &s.set.Runners[i]
		list = append(list, target(runner.Name, runner.Domain, platform.RoleEndpoint, runner.Address))
	}
	return list
}

func target(name, domain, role string, address netip.AddrPort) platform.TargetGroup {
	return platform.TargetGroup{
		Targets: []string{address.String()},
		Labels:  platform.TargetLabels{Name: name, Domain: domain, Role: role, State: platform.StateLive},
	}
}

func (s *System) startVM(vm VM) error {
	addresses := []netip.AddrPort{vm.Peers, vm.ControlOps, vm.Callers, vm.EntryOps}
	listeners, err := httpserve.ListenAll(addresses)
	if err != nil {
		return err
	}
	now := time.Now()
	controlSettings := settings.DefaultControl()
	controlSettings.Process = s.process(vm, vm.ControlOps)
	controlSettings.Listen = vm.Peers
	controlSettings.KeyValue = s.address(portKeyValue)
	controlSettings.VMList = s.address(portVMList)
	process := control.New(now, controlSettings, s.log("control/"+vm.Name, vm.Domain))
	process.Start(s.group, listeners[0], listeners[1])
	entrySettings := settings.DefaultEntry()
	entrySettings.Process = s.process(vm, vm.EntryOps)
	entrySettings.Listen = vm.Callers
	entrySettings.Controls = []netip.AddrPort{vm.Peers}
	entrySettings.DrainWait = document.Span(0)
	callers := entry.New(now, entrySettings, s.log("entry/"+vm.Name, vm.Domain))
	callers.Start(s.group, listeners[2], listeners[3])
	return nil
}

func (s *System) process(vm VM, operations netip.AddrPort) settings.Process {
	return settings.Process{
		Name:       vm.Name,
		Domain:     vm.Domain,
		Operations: operations,
		LogLevel:   s.options.LogLevel,
	}
}

func (s *System) log(process, domain string) *eventlog.Log {
	out := s.options.Log
	if out == nil {
		out = os.Stderr
	}
	return eventlog.New(out, settings.Process{LogLevel: s.options.LogLevel}.Level(), process, domain)
}

// Client returns an operators' client that calls the controls of all VMs.
func (s *System) Client() *operatorapi.Client {
	controls := make([]netip.AddrPort, 0, len(s.VMs))
	for _, vm := range s.VMs {
		controls = append(controls, vm.ControlOps)
	}
	return operatorapi.NewClient(controls)
}

// Publish publishes the catalog of the deployment. It retries until a control and the key-value service are available
// or the context ends.
func (s *System) Publish(ctx context.Context) (publication.Result, error) {
	objects, err := s.set.Objects(0)
	if err != nil {
		return publication.Result{}, err
	}
	request := publication.Request{ID: uuid.NewString(), Author: "demo", Summary: s.options.Deployment, Put: objects}
	for {
		result, err := s.Client().Publish(ctx, request)
		if err == nil && result.Status != publication.StatusUnavailable {
			return result, nil
		}
		if !group.Sleep(ctx, publishTry) {
			return result, errors.Wrap(ctx.Err(), "publish")
		}
	}
}

// WaitReady waits until every VM reports each model and adapter as ready on at least one runner. It calls progress
// after each successful poll.
func (s *System) WaitReady(ctx context.Context, progress func(ready, all int)) error {
	for _, vm := range s.VMs {
		client := operatorapi.NewClient([]netip.AddrPort{vm.ControlOps})
		for {
			status, err := client.Status(ctx)
			ready, all := countReady(status)
			if err == nil && all > 0 {
				progress(ready, all)
			}
			if all > 0 && ready == all {
				break
			}
			if !group.Sleep(ctx, readyPoll) {
				return errors.Wrap(ctx.Err(), "wait for models")
			}
		}
	}
	return nil
}

func countReady(status operator.Status) (ready, all int) {
	for _, unit := range status.Units {
		if len(unit.Runners) > 0 {
			ready++
		}
	}
	return ready, len(status.Units)
}
