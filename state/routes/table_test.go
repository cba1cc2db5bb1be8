package routes

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table := NewTable(1, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	tests := []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/xy", ""},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		name := ""
		if route := table.Match(test.host, test.path); route != nil {
			name = route.Name
		}
		assert.Equal(t, name, test.route, "%s%s", test.host, test.path)
	}
	assert.Equal(t, table.Size(), 3)
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{TrafficSplit: []WeightedService{{"a", 90}, {"b", 0}, {"c", 10}}}
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "c": 100})
	assert.Equal(t, r.Pick(0.9999999), "c")
}

func TestOnlySafeAndResumableRequestsAreRetryable(t *testing.T) {
	tests := []struct {
		route     Route
		retryable bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	}
	for _, test := range tests {
		assert.Equal(t, test.route.Retryable(), test.retryable, test.route.Kind)
	}
}
