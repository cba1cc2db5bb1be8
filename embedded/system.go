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
	portKeyValue          = 0
	portVMList            = 1
	portFirstVM           = 10
	portsPerVM            = 10
	portCallers           = 0
	portEntryOperations   = 1
	portPeers             = 2
	portControlOperations = 3
)

const (
	// bookingWorkTime is the time that a booking service needs for a call.
	bookingWorkTime      = 2 * time.Millisecond
	publishRetryInterval = 200 * time.Millisecond
	readyPollInterval    = 100 * time.Millisecond
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
	Name                     string
	Domain                   string
	CallerAddress            netip.AddrPort
	EntryOperationsAddress   netip.AddrPort
	PeerAddress              netip.AddrPort
	ControlOperationsAddress netip.AddrPort
}

// System is a running embedded deployment.
type System struct {
	VMs      []VM
	KeyValue *kvstore.Server
	VMList   *vmlist.Server
	Engines  []*engine.Server
	catalog  *catalog.Set
	options  Options
	group    *group.Group
}

// Start runs a sample deployment in the group. Publish then publishes its catalog.
func Start(g *group.Group, options Options) (*System, error) {
	data, err := samples.Catalog(options.Deployment)
	if err != nil {
		return nil, errors.Wrapf(err, "deployment %q", options.Deployment)
	}
	catalogSet, _, findings := catalog.Parse(options.Deployment+".jsonc", data)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	s := &System{
		KeyValue: kvstore.NewServer(),
		VMList:   vmlist.NewServer(),
		catalog:  catalogSet,
		options:  options,
		group:    g,
	}
	for _, start := range []func() error{s.startPlatformServices, s.startRunners, s.startVMs} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *System) address(offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(s.options.BasePort+offset))
}

func (s *System) startPlatformServices() error {
	keyValue, err := httpserve.Listen(s.address(portKeyValue).String())
	if err != nil {
		return err
	}
	vmList, err := httpserve.Listen(s.address(portVMList).String())
	if err != nil {
		return err
	}
	s.KeyValue.Start(s.group, keyValue)
	s.VMList.Start(s.group, vmList)
	return nil
}

func (s *System) startRunners() error {
	for i := range s.catalog.Runners {
		runner := &s.catalog.Runners[i]
		listener, err := httpserve.Listen(runner.Address.String())
		if err != nil {
			return err
		}
		if runner.Service != "" {
			bookings.NewServer(bookingWorkTime).Start(s.group, listener)
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
	for _, domain := range s.catalog.Deployment[0].Domains {
		for number := range s.options.VMsPerDomain {
			s.addVM(domain, number+1)
		}
	}
	s.VMList.Set(s.targetGroups())
	for _, vm := range s.VMs {
		if err := s.startVM(vm); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) addVM(domain string, number int) {
	base := portFirstVM + len(s.VMs)*portsPerVM
	s.VMs = append(s.VMs, VM{
		Name:                     fmt.Sprintf("%s-%d", domain, number),
		Domain:                   domain,
		CallerAddress:            s.address(base + portCallers),
		EntryOperationsAddress:   s.address(base + portEntryOperations),
		PeerAddress:              s.address(base + portPeers),
		ControlOperationsAddress: s.address(base + portControlOperations),
	})
}

func (s *System) targetGroups() []platform.TargetGroup {
	groups := make([]platform.TargetGroup, 0, len(s.VMs)+len(s.catalog.Runners))
	for _, vm := range s.VMs {
		groups = append(groups, newTargetGroup(vm.Name, vm.Domain, platform.RoleEntry, vm.PeerAddress))
	}
	for i := range s.catalog.Runners {
		runner := &s.catalog.Runners[i]
		groups = append(groups, newTargetGroup(runner.Name, runner.Domain, platform.RoleEndpoint, runner.Address))
	}
	return groups
}

func newTargetGroup(name, domain, role string, address netip.AddrPort) platform.TargetGroup {
	return platform.TargetGroup{
		Targets: []string{address.String()},
		Labels:  platform.TargetLabels{Name: name, Domain: domain, Role: role, State: platform.StateLive},
	}
}

func (s *System) startVM(vm VM) error {
	addresses := []netip.AddrPort{vm.PeerAddress, vm.ControlOperationsAddress, vm.CallerAddress, vm.EntryOperationsAddress}
	listeners, err := httpserve.ListenAll(addresses)
	if err != nil {
		return err
	}
	now := time.Now()
	controlSettings := settings.DefaultControl()
	controlSettings.Process = s.processSettings(vm, vm.ControlOperationsAddress)
	controlSettings.Listen = vm.PeerAddress
	controlSettings.KeyValue = s.address(portKeyValue)
	controlSettings.VMList = s.address(portVMList)
	controlProcess := control.New(now, controlSettings, s.newLog("control/"+vm.Name, vm.Domain))
	controlProcess.Start(s.group, listeners[0], listeners[1])
	entrySettings := settings.DefaultEntry()
	entrySettings.Process = s.processSettings(vm, vm.EntryOperationsAddress)
	entrySettings.Listen = vm.CallerAddress
	entrySettings.Controls = []netip.AddrPort{vm.PeerAddress}
	entrySettings.DrainWait = document.NewDuration(0)
	entryProcess := entry.New(now, entrySettings, s.newLog("entry/"+vm.Name, vm.Domain))
	entryProcess.Start(s.group, listeners[2], listeners[3])
	return nil
}

func (s *System) processSettings(vm VM, operations netip.AddrPort) settings.Process {
	return settings.Process{
		Name:       vm.Name,
		Domain:     vm.Domain,
		Operations: operations,
		LogLevel:   s.options.LogLevel,
	}
}

func (s *System) newLog(process, domain string) *eventlog.Log {
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
		controls = append(controls, vm.ControlOperationsAddress)
	}
	return operatorapi.NewClient(controls)
}

// Publish publishes the catalog of the deployment. It retries until a control and the key-value service are available
// or the context ends.
func (s *System) Publish(ctx context.Context) (publication.Result, error) {
	objects, err := s.catalog.Objects(0)
	if err != nil {
		return publication.Result{}, err
	}
	request := publication.Request{ID: uuid.NewString(), Author: "demo", Summary: s.options.Deployment, Put: objects}
	for {
		result, err := s.Client().Publish(ctx, request)
		if err == nil && result.Status != publication.StatusUnavailable {
			return result, nil
		}
		if !group.Sleep(ctx, publishRetryInterval) {
			return result, errors.Wrap(ctx.Err(), "publish")
		}
	}
}

// WaitReady waits until every VM reports each model and adapter as ready on at least one runner. It calls progress
// after each successful poll.
func (s *System) WaitReady(ctx context.Context, progress func(ready, total int)) error {
	for _, vm := range s.VMs {
		client := operatorapi.NewClient([]netip.AddrPort{vm.ControlOperationsAddress})
		for {
			status, err := client.Status(ctx)
			ready, total := countReady(status)
			if err == nil && total > 0 {
				progress(ready, total)
			}
			if total > 0 && ready == total {
				break
			}
			if !group.Sleep(ctx, readyPollInterval) {
				return errors.Wrap(ctx.Err(), "wait for models")
			}
		}
	}
	return nil
}

func countReady(status operator.Status) (ready, total int) {
	for _, unit := range status.Units {
		if len(unit.Runners) > 0 {
			ready++
		}
	}
	return ready, len(status.Units)
}
