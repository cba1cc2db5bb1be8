package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/coordination/ownership"
	"github.com/zinniaroute/zinniaroute/document"
	"github.com/zinniaroute/zinniaroute/settings"
	"github.com/zinniaroute/zinniaroute/standin/fault"
	"github.com/zinniaroute/zinniaroute/standin/metadata"
	"github.com/zinniaroute/zinniaroute/transport/clock"
	"github.com/zinniaroute/zinniaroute/transport/group"
	"github.com/zinniaroute/zinniaroute/transport/httpserve"
)

// During an upgrade VMs of the build before write these records to the store, and read those of this build.
func TestRecordsOfTheBuildBefore(t *testing.T) {
	tests := []struct {
		name, record string
		decoded      any
	}{
		{
			"member", `{"address":"10.1.0.38:7380","domain":"a","linkMbps":200,"forward":"10.1.0.38:7382"}`,
			&memberValue{},
		},
		{"owner", `{"vm":"vm-1","incarnation":"i-1","settled":true}`, &ownerValue{}},
	}
	for _, test := range tests {
		assert.NilError(t, json.Unmarshal([]byte(test.record), test.decoded), test.name)
		encoded, err := json.Marshal(test.decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), test.record, test.name)
	}
}

// storeVM is vm-1 with a stand-in of the store, in which vm-2 owns r1 and is no member any more.
type storeVM struct {
	*Gateway
	t     *testing.T
	store *metadata.Server
	now   time.Time
}

// startStore starts a stand-in of the store and returns its address.
func startStore(t *testing.T) (*metadata.Server, netip.AddrPort) {
	t.Helper()
	httpserve.DisableLibraryLog()
	tasks, err := group.New(context.Background())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, tasks.Stop()) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	store := metadata.NewServer()
	store.Start(tasks, listener)
	return store, netip.MustParseAddrPort(listener.Addr().String())
}

func startStoreVM(t *testing.T) *storeVM {
	t.Helper()
	store, address := startStore(t)
	store.Put(membersPrefix+"vm-1", []byte(`{"address":"127.0.0.1:1"}`))
	store.Put(ownersPrefix+"r1", []byte(`{"vm":"vm-2","incarnation":"i-2","settled":true}`))
	now := clock.Now()
	v := &simulatedVM{name: "vm-1"}
	deployed := settings.Gateway{Store: address}
	deployed.Bounds.OwnerChangePause = document.NewDuration(3 * time.Second)
	v.startWith(now, deployed)
	s := &storeVM{v.gateway, t, store, now}
	for range 2 {
		s.list()
		assert.Equal(t, len(s.owners.PendingClaims(s.now, []string{"r1"})), 0)
		s.now = s.now.Add(settleDelay)
	}
	s.list()
	return s
}

// list applies the store's whole content.
func (s *storeVM) list() {
	s.t.Helper()
	items, revision, err := s.Gateway.store.List(s.t.Context(), "")
	assert.NilError(s.t, err)
	assert.NilError(s.t, s.applyStoreListing(s.now, s.now, items, revision))
}

// pendingClaim returns the claim on r1 that is due.
func (s *storeVM) pendingClaim() ownership.PendingClaim {
	s.t.Helper()
	pending := s.owners.PendingClaims(s.now, []string{"r1"})
	assert.Equal(s.t, len(pending), 1)
	return pending[0]
}

func (s *storeVM) mayOrder(after time.Duration) bool {
	s.now = s.now.Add(after)
	s.list()
	_, may := s.authority(s.now, "r1")
	return may
}

// The store takes the claim on a runner and the answer is lost, so that the VM learns of its claim from the store's content.
func TestClaimWhoseAnswerIsLostTakesEffectWithoutItsWait(t *testing.T) {
	s := startStoreVM(t)
	s.store.Faults.Set(fault.Faults{DropAnswers: 1, PathContains: "kv-txn"})
	s.claimRunner(t.Context(), s.knownRevision.Era(), s.pendingClaim())
	assert.Equal(t, s.owners.Owner("r1"), "vm-2", "the answer was not lost")
	assert.Check(t, !s.mayOrder(time.Second))
	assert.Equal(t, s.owners.Owner("r1"), "vm-1")
	wait := orderValidity + s.bounds().OwnerChangePause.Duration
	assert.Check(t, !s.mayOrder(wait-time.Millisecond))
	assert.Check(t, s.mayOrder(time.Millisecond))
}

// own makes vm-1 the owner of r1, with the wait over.
func (s *storeVM) own() {
	s.t.Helper()
	s.claimRunner(s.t.Context(), s.knownRevision.Era(), s.pendingClaim())
	assert.Assert(s.t, s.mayOrder(orderValidity+s.bounds().OwnerChangePause.Duration))
}

// A VM asks the store to remove its claim on a runner that is gone. The runner comes back, and another VM may claim it without
// a wait if the store has removed the claim.
func TestRunnerIsOrderedByItsFormerOwnerAfterTheRelease(t *testing.T) {
	tests := []struct {
		name    string
		faults  fault.Faults
		removed bool
	}{
		{"the answer is lost", fault.Faults{DropAnswers: 1, PathContains: "kv-txn"}, true},
		{"the call is refused", fault.Faults{Down: true, PathContains: "kv-txn"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startStoreVM(t)
			s.own()
			fence := s.owners.Claim("r1").Revision
			s.orphanedSince["r1"] = s.now.Add(-orphanGrace)
			s.store.Faults.Set(test.faults)
			s.releaseOrphans(t.Context(), s.now)
			_, may := s.authority(s.now, "r1")
			assert.Check(t, !may, "the former owner may still order it")
			s.store.Faults.Set(fault.Faults{})
			s.claimRunner(t.Context(), s.knownRevision.Era(), s.pendingClaim())
			if _, may = s.authority(s.now, "r1"); test.removed {
				assert.Check(t, !may)
				s.list()
				assert.Equal(t, s.owners.Owner("r1"), "")
				s.claimRunner(t.Context(), s.knownRevision.Era(), s.pendingClaim())
			}
			later, may := s.authority(s.now, "r1")
			assert.Check(t, may, "the runner has no owner")
			assert.Check(t, later > uint64(fence))
		})
	}
}

func TestReleaseOfARunnerIsNotRepeated(t *testing.T) {
	s := startStoreVM(t)
	s.own()
	s.orphanedSince["r1"] = s.now.Add(-orphanGrace)
	s.store.Faults.Set(fault.Faults{Down: true, PathContains: "kv-txn"})
	s.releaseOrphans(t.Context(), s.now)
	s.store.Faults.Set(fault.Faults{})
	s.releaseOrphans(t.Context(), s.now)
	s.list()
	assert.Equal(t, s.owners.Owner("r1"), "")
}
