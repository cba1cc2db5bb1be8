package catalog

import "testing"

// FuzzCatalog checks that any input gives either findings or a set that stays valid after encoding and decoding.
func FuzzCatalog(f *testing.F) {
	f.Add([]byte(validCatalog))
	f.Add([]byte(`{"models": [{"name": "a", "memoryMiB": 1, "version": "a"}], "versions": [{"name": "a", "model": "a"}]}`))
	f.Add([]byte(`{"routes": [{"name": "r", "targets": [{"name": "r", "weight": -9223372036854775808}]}]}`))
	f.Add([]byte(`{"deployment": [{}], "runners": [{"accelerators": -1}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, locator, findings := Parse("c.jsonc", data)
		if len(findings) > 0 {
			return
		}
		if Validate(set, locator).Err() != nil {
			return
		}
		objects, err := set.Objects(1)
		if err != nil {
			t.Fatal(err)
		}
		again, err := NewSet(objects)
		if err != nil {
			t.Fatal(err)
		}
		if findings := Validate(again, NewLocator()); len(findings) > 0 {
			t.Fatalf("the set is valid, but its decoded objects are not: %v", findings)
		}
	})
}
