package allowance

import (
	"maps"
	"slices"
	"time"
)

// Snapshot is the ledger as operators see it.
type Snapshot struct {
	// Stale means that the VM knows nothing recent of the others, and that it admits its equal share.
	Stale bool `json:"stale"`
	// Part is the part of the members that report to the VM's aggregator.
	Part       float64             `json:"part"`
	Workspaces []WorkspaceSnapshot `json:"workspaces"`
}

// WorkspaceSnapshot is the spending of one workspace within the window, by this VM and by the others.
type WorkspaceSnapshot struct {
	Workspace string `json:"workspace"`
	// PerSecond and Burst are the limit at the last request, or zero if this VM got none.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	Own       int64   `json:"own"`
	Others    int64   `json:"others"`
	// OwnDemand and OthersDemand are the tokens a second asked for.
	OwnDemand    int64 `json:"ownDemand"`
	OthersDemand int64 `json:"othersDemand"`
	// Level is the level of the bucket of all VMs, if the limit is known.
	Level int64 `json:"level"`
}

// Snapshot returns the ledger as of a time, by the names of the workspaces. It is empty if no workspace has a limit.
func (l *Ledger) Snapshot(now time.Time) Snapshot {
	if !l.Used() {
		return Snapshot{}
	}
	s := Snapshot{Stale: l.Stale(now), Part: l.part()}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.account(now, name)
		w := WorkspaceSnapshot{
			Workspace: name, PerSecond: a.limit.PerSecond, Burst: a.limit.Burst, Own: a.own.sum(), Others: a.others.sum(),
			OwnDemand: int64(a.demandRate(now)), OthersDemand: int64(a.demand),
		}
		if a.limit.PerSecond > 0 {
			w.Level = int64(l.level(now, l.spentOf(now, a), a.limit))
		}
		s.Workspaces = append(s.Workspaces, w)
	}
	return s
}
