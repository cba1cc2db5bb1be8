package decay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAfterHalvesValueEachHalfLife(t *testing.T) {
	cases := []struct {
		elapsed time.Duration
		want    float64
	}{{-time.Second, 8}, {0, 8}, {2 * time.Second, 4}, {6 * time.Second, 1}}
	for _, c := range cases {
		assert.Check(t, math.Abs(After(8, c.elapsed, 2*time.Second)-c.want) < 1e-9, "%v", c.elapsed)
	}
}

func TestRateOfSteadyInput(t *testing.T) {
	sum := 0.0
	for range 10_000 {
		sum = After(sum, 10*time.Millisecond, time.Second) + 0.3
	}
	assert.Check(t, math.Abs(Rate(sum, time.Second)-30) < 0.3, "%f", Rate(sum, time.Second))
}
