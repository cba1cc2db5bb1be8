package layers

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var metricPattern = regexp.MustCompile(`expvar\.(?:New\w+|Publish)\("(\w+)"`)

// Every metric that a process serves is documented in docs/OPERATIONS.md.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	found := 0
	for name, text := range sources(t, "../...") {
		for _, match := range metricPattern.FindAllStringSubmatch(text, -1) {
			found++
			assert.Check(t, strings.Contains(string(page), "`"+match[1]+"`"), "%s of %s", match[1], name)
		}
	}
	assert.Check(t, found > 5, "%d metrics found", found)
}
