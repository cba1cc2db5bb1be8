package trace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// logs holds log lines of several processes, a line with a prefix and a line that is not an event.
const logs = `
{"event":204,"process":"gateway/vm-1","revision":7,"time":"2026-12-04T06:00:00.100Z","version":3}
  15.47 front {"event":505,"error":"header: EOF","process":"gateway/vm-1","request":"r-cut","runner":"i-1","sent":true,"time":"2026-12-04T06:00:05.010Z"}
{"event":510,"ms":1010,"outcome":"cut","process":"gateway/vm-1","reason":"answer broke off","request":"r-cut","runner":"i-1","runs":1,"status":0,"time":"2026-12-04T06:00:05.011Z"}
{"event":505,"error":"header: EOF","process":"gateway/vm-2","request":"r-9","runner":"i-1","sent":true,"time":"2026-12-04T06:00:05.020Z"}
{"event":507,"process":"gateway/vm-2","request":"r-8","runner":"i-1","time":"2026-12-04T06:00:04.000Z"}
{"event":406,"change":"gone","process":"gateway/vm-2","runner":"i-1","time":"2026-12-04T06:00:05.500Z"}
{"event":312,"held":false,"owner":"vm-2","process":"gateway/vm-1","reason":"no authority","request":"r-refused","runner":"i-2","time":"2026-12-04T06:00:07.000Z","unit":"m/a1"}
{"event":504,"listAgeMs":398,"process":"gateway/vm-1","request":"r-refused","runners":17,"time":"2026-12-04T06:00:08.900Z"}
{"event":510,"ms":2000,"outcome":"refuse","process":"gateway/vm-1","reason":"no endpoint holds m/a1","request":"r-refused","runner":"","runs":0,"status":503,"time":"2026-12-04T06:00:09.000Z"}
{"event":509,"duty":0.997,"predictedMs":99,"process":"gateway/vm-1","request":"r-busy","runner":"i-3","time":"2026-12-04T06:00:09.000Z"}
{"event":510,"ms":1,"outcome":"refuse","process":"gateway/vm-1","reason":"the endpoint reads other prompts","request":"r-busy","status":503,"time":"2026-12-04T06:00:09.001Z"}
{"event":507,"beforeMs":0,"firstMs":1016,"ms":1332,"predictedMs":315,"process":"gateway/vm-1","request":"r-late","runner":"i-4","time":"2026-12-04T06:00:20.000Z"}
{"event":105,"lines":12,"process":"gateway/vm-1","time":"2026-12-04T06:00:20.500Z"}
not a line of ours {"event":1}
`

func TestBuild(t *testing.T) {
	records, err := Read(strings.NewReader(logs))
	assert.NilError(t, err)
	cases := []struct {
		request string
		cause   []string
		around  int
	}{
		{"r-cut", []string{"cut after 1 runs: answer broke off", "i-1: header: EOF", "served 1 other requests and failed 1"}, 1},
		{"r-refused", []string{"refused, not run: no endpoint holds m/a1", "vm-2 could not have m/a1 loaded on i-2: no authority"}, 0},
		{"r-busy", []string{"the best runner, i-3, was predicted to begin after 99 ms", "1.00 of its time"}, 0},
		{"r-late", []string{"served in 1332 ms", "1016 to the first byte (315 predicted)", "i-4 was slow to begin"}, 1},
	}
	for _, c := range cases {
		built, ok := Build(records, c.request)
		assert.Assert(t, ok, c.request)
		for _, text := range c.cause {
			assert.Check(t, strings.Contains(built.Cause, text), "%s: %s", c.request, built.Cause)
		}
		assert.Equal(t, len(built.RelatedEvents), c.around, c.request)
	}
	late, _ := Build(records, "r-late")
	assert.Equal(t, late.DroppedLines, int64(12))
	assert.Equal(t, late.StartedAt.UnixMilli()%100_000, int64(18_668))
	_, ok := Build(records, "unknown")
	assert.Check(t, !ok)
}
