package workspaces

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"math"
	"slices"
	"strings"
)

const (
	// MaxKeyBytes is the length of the longest key that a caller may present.
	MaxKeyBytes = 512
	// digestBytes is the length of the digests in a table. Two of 100,000 keys have the same 128 bits with probability 1e-29.
	digestBytes = 16
)

// Workspace is a group of callers that share keys, a priority and an allowance.
type Workspace struct {
	Name string
	// Priority takes precedence over the priority of a route; 0 is the most urgent. It is meaningful only with HasPriority.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Limit is the allowance of a workspace over all VMs.
type Limit struct {
	// PerSecond and Burst are in tokens or in requests. There is no limit if PerSecond is zero.
	PerSecond, Burst float64
	// Tokens means that a request costs its tokens, and otherwise one.
	Tokens bool
	// PlainTokens is the cost in tokens of a request without a readable number of tokens.
	PlainTokens int
}

// valid reports whether each number of the limit is finite and not negative.
func (l Limit) valid() bool {
	for _, n := range []float64{l.PerSecond, l.Burst, float64(l.PlainTokens)} {
		if !(n >= 0) || math.IsInf(n, 0) {
			return false
		}
	}
	return true
}

// Entry is one workspace as a configuration lists it, with its keys.
type Entry struct {
	Workspace
	Keys []string
	// LimitUnreadable means that the configuration has a limit that cannot be read.
	LimitUnreadable bool
}

// ProblemKind says what is wrong with an entry.
type ProblemKind string

// The kinds of problems.
const (
	// UnusableName means that the entry is not accepted, since its name is empty or cannot be the value of a header.
	UnusableName ProblemKind = "unusable name"
	// RepeatedName means that an earlier entry has the name. It gets the keys of this one, and keeps its priority and limit.
	RepeatedName ProblemKind = "repeated name"
	// UnusableLimit means that the workspace is accepted without its limit.
	UnusableLimit ProblemKind = "unusable limit"
	// SharedKey means that an earlier workspace has a key of this one, and keeps it.
	SharedKey ProblemKind = "shared key"
	// UnusableKey means that no caller can present a key, since it is empty or too long.
	UnusableKey ProblemKind = "unusable key"
)

// Problem is something wrong with an entry of a configuration. The rest of the configuration applies.
type Problem struct {
	Kind ProblemKind
	// Index is the place of the entry in the configuration, from 0.
	Index int
	Name  string
	// Other is the workspace that keeps a shared key.
	Other string
}

// Table holds the workspaces of one version of the configuration. It does not change once it is made.
type Table struct {
	secret     []byte
	workspaces []*Workspace
	byName     map[string]*Workspace
	byDigest   map[digest]*Workspace
	problems   []Problem
	// workspacePriorities and routePriorities are the priorities of the configuration, each once and in order.
	workspacePriorities, routePriorities []int
}

type digest [digestBytes]byte

// NewTable returns a table of the entries, whose digests are keyed with the secret. The route priorities are those of the
// configuration's routes.
func NewTable(secret []byte, entries []Entry, routePriorities []int) *Table {
	t := &Table{
		secret: slices.Clone(secret), byName: make(map[string]*Workspace), byDigest: make(map[digest]*Workspace),
		routePriorities: distinct(routePriorities),
	}
	mac := hmac.New(sha256.New, t.secret)
	for i := range entries {
		t.add(i, &entries[i], mac)
	}
	var priorities []int
	for _, w := range t.workspaces {
		if w.HasPriority {
			priorities = append(priorities, w.Priority)
		}
	}
	t.workspacePriorities = distinct(priorities)
	return t
}

func distinct(values []int) []int { return slices.Compact(slices.Sorted(slices.Values(values))) }

func (t *Table) add(index int, e *Entry, mac hash.Hash) {
	report := func(kind ProblemKind, other string) {
		t.problems = append(t.problems, Problem{Kind: kind, Index: index, Name: e.Name, Other: other})
	}
	if !usableName(e.Name) {
		report(UnusableName, "")
		return
	}
	w := t.byName[e.Name]
	if w != nil {
		report(RepeatedName, e.Name)
	} else {
		added := e.Workspace
		if e.LimitUnreadable || !added.Limit.valid() {
			added.Limit = Limit{}
			report(UnusableLimit, "")
		}
		w = &added
		t.workspaces = append(t.workspaces, w)
		t.byName[w.Name] = w
	}
	shared := make(map[string]bool)
	for _, key := range e.Keys {
		if !usableKey(key) {
			report(UnusableKey, "")
			continue
		}
		d := sum(mac, key)
		holder := t.byDigest[d]
		switch {
		case holder == nil:
			t.byDigest[d] = w
		case holder != w && !shared[holder.Name]:
			shared[holder.Name] = true
			report(SharedKey, holder.Name)
		}
	}
}

// usableName reports whether a name can be the value of a header, so that the other side reads the same name.
func usableName(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, isControl)
}

func usableKey(key string) bool { return key != "" && len(key) <= MaxKeyBytes }

func sum(mac hash.Hash, key string) digest {
	mac.Reset()
	// Writes to a hash never fail.
	_, _ = mac.Write([]byte(key))
	var whole [sha256.Size]byte
	return digest(mac.Sum(whole[:0])[:digestBytes])
}

// Find returns the workspace that holds a key. Its timing depends on a keyed digest of the key, which callers cannot compute,
// and on the key's length.
func (t *Table) Find(key string) (*Workspace, bool) {
	if !usableKey(key) {
		return nil, false
	}
	w, ok := t.byDigest[sum(hmac.New(sha256.New, t.secret), key)]
	return w, ok
}

// Named returns the workspace with a name, or nil if this version of the configuration has none.
func (t *Table) Named(name string) *Workspace { return t.byName[name] }

// All returns the workspaces in the order of the configuration.
func (t *Table) All() []*Workspace { return t.workspaces }

// Keys returns the number of keys.
func (t *Table) Keys() int { return len(t.byDigest) }

// Problems returns what is wrong with the entries, in their order.
func (t *Table) Problems() []Problem { return t.problems }

// Priority returns the priority of a workspace, which may be nil. Without one it is the most urgent of the configuration.
func (t *Table) Priority(w *Workspace) int {
	switch {
	case w != nil && w.HasPriority:
		return w.Priority
	case len(t.workspacePriorities) > 0:
		return t.workspacePriorities[0]
	default:
		return 0
	}
}

// Rank returns the place of a pair of priorities among all pairs of the configuration's workspace and route priorities, ordered
// by workspace and then by route. It is dense, and 0 is the most urgent.
func (t *Table) Rank(workspacePriority, routePriority int) int {
	workspaceRank, _ := slices.BinarySearch(t.workspacePriorities, workspacePriority)
	routeRank, _ := slices.BinarySearch(t.routePriorities, routePriority)
	return workspaceRank*max(1, len(t.routePriorities)) + routeRank
}
