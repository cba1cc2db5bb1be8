package gateway

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
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
