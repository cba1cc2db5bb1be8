package vm

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// The headers of requests that one VM forwards to another over HTTP, and of the answers.
const (
	headerForwardCaller        = "Zinniaroute-Forward-Caller"
	headerForwardRuns          = "Zinniaroute-Forward-Runs"
	headerForwardConfiguration = "Zinniaroute-Forward-Configuration"
	headerForwardOutcome       = "Zinniaroute-Forward-Outcome"
	headerForwardWorkspace     = "Zinniaroute-Forward-Workspace"

	// namesWorkspace is the sign before the number of runs in a request whose header of the workspace the forwarding VM has set.
	// VMs of the build before write no sign, read one, and pass on a header of that name that a caller has sent.
	namesWorkspace = "+"
)

// Forward describes a request that a VM without a path to the runners forwards to another VM.
type Forward struct {
	// Caller is the address of the caller, or the zero address if it is unknown.
	Caller netip.Addr
	// Runs is the number of runners that may still run the request.
	Runs int
	// Configuration is the version of the configuration that routed the request.
	Configuration uint64
	// Workspace is the workspace whose key the caller presented, or "" if there is none or the other VM runs the build before.
	Workspace string
}

// Write adds the description to the headers of the request.
func (f Forward) Write(header *protocol.RequestHeader) {
	removeForward(header)
	header.Set(headerForwardCaller, f.Caller.String())
	header.Set(headerForwardRuns, strconv.Itoa(f.Runs))
	header.Set(headerForwardConfiguration, strconv.FormatUint(f.Configuration, 10))
	if f.Workspace != "" {
		header.Set(headerForwardRuns, namesWorkspace+strconv.Itoa(f.Runs))
		header.Set(headerForwardWorkspace, f.Workspace)
	}
}

// TakeForward removes the description from the headers of a request and returns it. It returns an error if a value is missing
// or unreadable.
func TakeForward(header *protocol.RequestHeader) (Forward, error) {
	var f Forward
	var err error
	if f.Runs, err = strconv.Atoi(header.Get(headerForwardRuns)); err != nil || f.Runs < 1 {
		return f, errors.Errorf("forwarded request: header %s is %q", headerForwardRuns, header.Get(headerForwardRuns))
	}
	if f.Configuration, err = strconv.ParseUint(header.Get(headerForwardConfiguration), 10, 64); err != nil {
		return f, errors.Wrapf(err, "forwarded request: header %s", headerForwardConfiguration)
	}
	// An unknown caller is written as "invalid IP".
	f.Caller, _ = netip.ParseAddr(header.Get(headerForwardCaller))
	if strings.HasPrefix(header.Get(headerForwardRuns), namesWorkspace) {
		f.Workspace = header.Get(headerForwardWorkspace)
	}
	removeForward(header)
	return f, nil
}

// removeForward removes the description, also one that the caller has sent.
func removeForward(header *protocol.RequestHeader) {
	for _, name := range []string{headerForwardCaller, headerForwardRuns, headerForwardConfiguration, headerForwardWorkspace} {
		header.Del(name)
	}
}

// RemoveForwardWorkspace removes the name of a workspace from the request of a caller, who may not set it.
func RemoveForwardWorkspace(header *protocol.RequestHeader) { header.Del(headerForwardWorkspace) }

// Outcome says how a VM ended a request that was forwarded to it, if it does not pass on an answer of a runner.
type Outcome string

// The outcomes.
const (
	// Passed means that the answer is the one of a runner.
	Passed Outcome = ""
	// NotTaken means that the VM sent the request to no runner and another VM may.
	NotTaken Outcome = "notTaken"
	// Refused means that no runner has run the request and none will.
	Refused Outcome = "refused"
	// Failed means that the request failed, and that runners may have run it.
	Failed Outcome = "failed"
)

// WriteOutcome adds the outcome of a forwarded request to the headers of the answer, with the number of attempts that may have
// run.
func WriteOutcome(header *protocol.ResponseHeader, outcome Outcome, runs int) {
	header.Set(headerForwardOutcome, string(outcome))
	header.Set(headerForwardRuns, strconv.Itoa(runs))
}

// RemoveOutcome removes the outcome from the headers of an answer, which only the VM that gives the answer may set, and the name
// of a workspace, which belongs to requests.
func RemoveOutcome(header *protocol.ResponseHeader) {
	header.Del(headerForwardOutcome)
	header.Del(headerForwardRuns)
	header.Del(headerForwardWorkspace)
}

// ReadOutcome returns the outcome of a forwarded request, and the number of attempts that may have run if it is Failed.
func ReadOutcome(header *protocol.ResponseHeader) (Outcome, int) {
	runs, err := strconv.Atoi(header.Get(headerForwardRuns))
	if err != nil {
		runs = 1
	}
	return Outcome(header.Get(headerForwardOutcome)), runs
}
