package publication

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/zinniaroute/zinniaroute/coordination/keyvalue"
	"github.com/zinniaroute/zinniaroute/standin/seeded"
	"github.com/zinniaroute/zinniaroute/state/catalog"
)

var _ = seeded.SetFlags()

// fakeStore is a key-value service in memory. Its hooks inject faults.
type fakeStore struct {
	entries map[string]keyvalue.Entry
	index   uint64
	// onSwap runs before a write and returns the fault to inject: "" none, "lost" applies the write and loses the answer,
	// "never" loses the request, "refused" does not reach the service.
	onSwap func(key string) string
	// onGet fails a read when it returns true.
	onGet func(key string) bool
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]keyvalue.Entry)} }

func (s *fakeStore) Get(_ context.Context, key string) (keyvalue.Entry, error) {
	if s.onGet != nil && s.onGet(key) {
		return keyvalue.Entry{}, errors.New("down")
	}
	return s.entries[key], nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expected uint64) (keyvalue.Outcome, error) {
	fault := ""
	if s.onSwap != nil {
		fault = s.onSwap(key)
	}
	switch fault {
	case "refused":
		return keyvalue.NotSent, errors.New("refused")
	case "never":
		return keyvalue.Unknown, errors.New("lost")
	}
	applied := s.entries[key].Index == expected
	if applied {
		s.index++
		s.entries[key] = keyvalue.Entry{Value: value, Index: s.index}
	}
	switch {
	case fault == "lost":
		return keyvalue.Unknown, errors.New("lost")
	case applied:
		return keyvalue.Applied, nil
	default:
		return keyvalue.Conflict, nil
	}
}

func (s *fakeStore) Delete(_ context.Context, key string, expected uint64) (keyvalue.Outcome, error) {
	if s.entries[key].Index != expected {
		return keyvalue.Conflict, nil
	}
	delete(s.entries, key)
	return keyvalue.Applied, nil
}

const base = `{
  "deployment": [{"name": "d", "domains": ["a"], "movePrice": 0, "loadsPerSecond": 1, "concurrentLoads": 1, "concurrentAdapters": 1}],
  "models": [{"name": "m0", "memoryMiB": 10}],
  "runners": [{"name": "r1", "address": "127.0.0.1:1", "domain": "a", "accelerators": 1, "memoryMiB": 9000}],
}`

func objects(t assert.TestingT, text string) []catalog.Object {
	set, _, findings := catalog.Parse("c.jsonc", []byte(text))
	assert.NilError(t, findings.Err())
	list, err := set.Objects(0)
	assert.NilError(t, err)
	return list
}

func model(name string, memoryMiB int) catalog.Object {
	spec, _ := json.Marshal(catalog.Model{Name: name, MemoryMiB: memoryMiB})
	return catalog.Object{Key: catalog.Key{Kind: catalog.KindModel, Name: name}, Spec: spec}
}

var now = time.Unix(1_000_000, 0)

func publish(s *fakeStore, id string, put ...catalog.Object) Result {
	return Publish(context.Background(), now, s, Request{ID: id, Put: put}, 0)
}

func seededStore(t assert.TestingT) *fakeStore {
	s := newFakeStore()
	assert.Equal(t, publish(s, "base", objects(t, base)...).Status, StatusPublished)
	return s
}

func TestStatusOfConcurrentChanges(t *testing.T) {
	cases := []struct {
		name   string
		theirs catalog.Object
		ours   catalog.Object
		want   Status
	}{
		{name: "different objects", theirs: model("m1", 10), ours: model("m2", 10), want: StatusPublished},
		{name: "same new object", theirs: model("m1", 10), ours: model("m1", 20), want: StatusConflict},
		{name: "same old object", theirs: model("m0", 20), ours: model("m0", 30), want: StatusConflict},
		{name: "same change", theirs: model("m0", 20), ours: model("m0", 20), want: StatusUnchanged},
		{name: "broken only together", theirs: model("m1", 5000), ours: model("m2", 5000), want: StatusInvalid},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := seededStore(t)
			raced := false
			s.onSwap = func(key string) string {
				if key == HeadKey && !raced {
					raced = true
					assert.Equal(t, publish(s, "theirs", tc.theirs).Status, StatusPublished)
				}
				return ""
			}
			result := publish(s, "ours", tc.ours)
			assert.Equal(t, result.Status, tc.want, "%+v", result)
			if tc.want == StatusConflict {
				assert.Assert(t, strings.Contains(result.Findings.Error(), tc.ours.String()))
			}
		})
	}
}

func TestLostAnswerIsResolvedByChangeID(t *testing.T) {
	for _, fault := range []string{"lost", "never"} {
		t.Run(fault, func(t *testing.T) {
			s := seededStore(t)
			lost := false
			s.onSwap = func(key string) string {
				if key == HeadKey && !lost {
					lost = true
					return fault
				}
				return ""
			}
			result := publish(s, "ours", model("m1", 10))
			assert.Equal(t, result.Status, StatusPublished)
			assert.Equal(t, result.Revision, uint64(2))
			assert.Equal(t, publish(s, "ours", model("m1", 10)).Revision, uint64(2))
			snapshot, _, err := Load(context.Background(), s)
			assert.NilError(t, err)
			assert.Equal(t, snapshot.Head.Revision, uint64(2))
		})
	}
}

func TestFailingStoreGivesUnavailableOrUnknown(t *testing.T) {
	s := seededStore(t)
	s.onGet = func(string) bool { return true }
	assert.Equal(t, publish(s, "ours", model("m1", 10)).Status, StatusUnavailable)
	s.onGet = nil
	s.onSwap = func(key string) string {
		if key == HeadKey {
			s.onGet = func(string) bool { return true }
			return "lost"
		}
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	result := Publish(ctx, now, s, Request{ID: "late", Put: []catalog.Object{model("m1", 10)}}, time.Second)
	assert.Equal(t, result.Status, StatusUnknown)
}

func TestChangeAfterBaseRevisionConflicts(t *testing.T) {
	s := seededStore(t)
	assert.Equal(t, publish(s, "theirs", model("m0", 20)).Status, StatusPublished)
	request := Request{ID: "ours", Put: []catalog.Object{model("m0", 30)}, Base: 1}
	assert.Equal(t, Publish(context.Background(), now, s, request, 0).Status, StatusConflict)
	request.Base = 2
	assert.Equal(t, Publish(context.Background(), now, s, request, 0).Status, StatusPublished)
}

func TestUnusedChunksAreDeleted(t *testing.T) {
	s := seededStore(t)
	for i := range 50 {
		assert.Equal(t, publish(s, fmt.Sprint("c", i), model("m0", 11+i)).Status, StatusPublished)
	}
	assert.Assert(t, len(s.entries) <= Buckets+1, "%d keys", len(s.entries))
}

// An accepted change stays in the catalog, whatever calls the key-value service loses or refuses and however changes
// interleave.
func TestAcceptedChangesStayInCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := seededStore(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		accepted := make(map[string]uint64)
		depth := 0
		var publishObject func(id string)
		s.onSwap = func(key string) string {
			if key == HeadKey && depth < 3 && random.IntN(3) == 0 {
				publishObject(fmt.Sprintf("nested-%d-%d", depth, random.IntN(1000)))
			}
			return []string{"", "", "", "lost", "never", "refused"}[random.IntN(6)]
		}
		s.onGet = func(string) bool { return random.IntN(20) == 0 }
		publishObject = func(id string) {
			depth++
			defer func() { depth-- }()
			name := "x-" + id
			if publish(s, id, model(name, 1)).Status == StatusPublished {
				accepted[name] = 1
			}
		}
		for i := range 6 {
			publishObject(fmt.Sprint("top-", i))
		}
		s.onSwap, s.onGet = nil, nil
		snapshot, _, err := Load(context.Background(), s)
		if err != nil {
			t.Fatalf("load the catalog: %v", err)
		}
		held := make(map[string]bool)
		for _, object := range snapshot.Objects {
			held[object.Name] = true
		}
		for name := range accepted {
			if !held[name] {
				t.Fatalf("accepted object %s is not in the catalog", name)
			}
		}
	})
}
