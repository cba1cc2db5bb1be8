package settings

import "testing"

// FuzzSettings checks that no input makes a parser panic.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(validEntry))
	f.Add([]byte(validControl))
	f.Add([]byte(`{"process": null}`))
	f.Add([]byte(`{"controls": [null, "x"], "drainWait": 5}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = ParseEntry("s.jsonc", data, Overrides{})
		_, _ = ParseControl("s.jsonc", data, Overrides{})
	})
}
