package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/zinniaroute/zinniaroute/standin/caller"
	"github.com/zinniaroute/zinniaroute/transport/group"
)

const (
	// maxValueBytes is the largest value that the platform's store takes, and configurationTime the time within which a
	// configuration must be in force. followTimeout is the time after which a VM counts as having stopped to follow.
	maxValueBytes     = 1 << 20
	configurationTime = 2 * time.Second
	followTimeout     = 15 * time.Second
)

// Another writer leaves entries among those of the runners, and among those of the VMs, that name nothing to use.
func TestGatewayStopsFollowingTheStoreAtOddEntries(t *testing.T) {
	t.Parallel()
	entry := func(fields string) string {
		return `{"service":"plain","address":"127.0.0.1:9","zone":"a","state":"ready","slots":8` + fields + `}`
	}
	values := []struct{ name, value string }{
		{"empty", ""},
		{"null", "null"},
		{"no JSON", "\x00\xff\xfe"},
		{"a list", "[]"},
		{"open brackets", strings.Repeat("[", 200_000)},
		{"deep lists", strings.Repeat("[", 9000) + strings.Repeat("]", 9000)},
		{"a deep version", entry(`,"version":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000))},
		{"a number too large", entry(`,"sequence":1e999`)},
		{"slots too large", entry(`,"slots":1e30`)},
		{"negative slots", entry(`,"slots":-5`)},
		{"a start before the epoch", entry(`,"born":-5`)},
		{"a fractional start", entry(`,"born":1.5`)},
		{"a port out of range", strings.Replace(entry(""), ":9", ":70000", 1)},
		{"port zero", strings.Replace(entry(""), ":9", ":0", 1)},
		{"no port", strings.Replace(entry(""), ":9", "", 1)},
		{"no address", `{"service":"plain","state":"ready"}`},
		{"another state", strings.Replace(entry(""), "ready", "odd", 1)},
		{"another service", strings.Replace(entry(""), "plain", "other", 1)},
		{"models of another type", entry(`,"models":7`)},
		{"as large as the platform's store takes", entry(`,"more":"` + strings.Repeat("x", maxValueBytes-200) + `"`)},
		{"5 MB", entry(`,"more":"` + strings.Repeat("x", 5<<20) + `"`)},
	}
	d := newDeployment(t)
	for _, id := range []string{"p1", "p2"} {
		d.addRunner(id, plainService)
	}
	gateways := []string{"vm-1", "vm-2"}
	for _, name := range gateways {
		d.addGateway(name)
		waitUntil(t, name+" serves", func() bool { return d.send(name, safePath, "").status == http.StatusOK })
	}
	version := 1
	followed := func(name, after string, within time.Duration) {
		version++
		path := fmt.Sprintf("/v%d/one", version)
		d.configure(version, 10_000, plainRoute(fmt.Sprint("v", version)))
		configuredAt := time.Now()
		waitUntil(t, name+" follows the store after "+after, func() bool { return d.send(name, path, "").status == http.StatusOK })
		took := time.Since(configuredAt)
		assert.Check(t, took < within, "%s followed the store after %v, after %s", name, took, after)
	}
	prefixes := []string{caller.RunnerKeys, "vms/", "owners/", "quarantine/", "streams/", "software/"}
	for i, odd := range values {
		for _, prefix := range prefixes {
			if len(odd.value) >= maxValueBytes/2 {
				continue
			}
			d.store.Put(fmt.Sprint(prefix, "odd-", i), []byte(odd.value))
			d.store.Put(fmt.Sprint(prefix, "odd %2-", i, "\r\nx: y"), []byte(odd.value))
		}
		d.store.Put(fmt.Sprint(caller.RunnerKeys, "odd-", i), []byte(odd.value))
		within := configurationTime
		if len(odd.value) > maxValueBytes {
			// The platform's store takes no such value, so no time is stated for it.
			within = followTimeout
		}
		followed(gateways[i%len(gateways)], odd.name, within)
	}
	for i := range 2000 {
		d.store.Put(fmt.Sprint(caller.RunnerKeys, "many-", i), []byte(`{"service":7}`))
	}
	followed("vm-1", "many", configurationTime)
	// A gateway that starts lists all of them.
	d.addGateway("vm-3")
	followed("vm-3", "a start", configurationTime)
	for range 20 {
		for _, name := range []string{"vm-1", "vm-2", "vm-3"} {
			response := d.send(name, safePath, "")
			assert.Check(t, response.status == http.StatusOK, "%s answers %d", name, response.status)
		}
		group.Sleep(t.Context(), 20*time.Millisecond)
	}
}
