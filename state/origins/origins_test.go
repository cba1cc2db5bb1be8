package origins

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestTableDropsExpiredAndExcessOrigins(t *testing.T) {
	table := NewTable()
	v1 := Origin{Service: "s", Software: "v1"}
	table.Put(at(0), "a", v1, at(10))
	origin, ok := table.Get(at(9), "a")
	assert.Assert(t, ok)
	assert.Equal(t, origin, v1)
	_, ok = table.Get(at(10), "a")
	assert.Assert(t, !ok)
	for i := range maxOrigins + 10 {
		table.Put(at(11), fmt.Sprint(i), v1, at(20))
	}
	assert.Equal(t, len(table.byAttempt), maxOrigins)
	_, ok = table.Get(at(12), "0")
	assert.Assert(t, !ok)
	_, ok = table.Get(at(12), fmt.Sprint(maxOrigins))
	assert.Assert(t, ok)
}

func TestSoleVersionOfAService(t *testing.T) {
	tests := []struct {
		name     string
		evidence Evidence
		want     string
	}{
		{"one version", Evidence{Recorded: []string{"v1"}, Listed: []string{"v1", "v1"}}, "v1"},
		{"two versions", Evidence{Recorded: []string{"v1", "v2"}, Listed: []string{"v1", "v2"}}, ""},
		{"the other has left", Evidence{Recorded: []string{"v1", "v2"}, Listed: []string{"v2"}}, ""},
		{"another is listed and not recorded yet", Evidence{Recorded: []string{"v1"}, Listed: []string{"v1", "v2"}}, ""},
		{"an unknown version", Evidence{Recorded: []string{"v1"}, Listed: []string{"v1", ""}}, ""},
		{"the recorded one is not listed", Evidence{Recorded: []string{"v1"}, Listed: []string{"v2"}}, ""},
		{"no runner is listed", Evidence{Recorded: []string{"v1"}}, "v1"},
		{"none is recorded", Evidence{Listed: []string{"v1"}}, ""},
		{"nothing", Evidence{}, ""},
	}
	for _, test := range tests {
		software, ok := test.evidence.Sole()
		assert.Equal(t, software, test.want, test.name)
		assert.Equal(t, ok, test.want != "", test.name)
	}
}

func TestVersionsThatAreRecorded(t *testing.T) {
	v := NewVersions()
	v.Add("s", "v1")
	v.Add("s", "v1")
	v.Add("other", "v2")
	assert.Assert(t, v.Has("s", "v1") && !v.Has("s", "v2") && !v.HasSeveral("s"))
	v.Add("s", "v2")
	assert.Assert(t, v.HasSeveral("s") && !v.HasSeveral("other"))
	v.Remove("s", "v1")
	assert.Assert(t, !v.Has("s", "v1") && !v.HasSeveral("s"))
	v.Retain(func(service, _ string) bool { return service == "other" })
	assert.Assert(t, !v.Has("s", "v2") && v.Has("other", "v2"))
}
