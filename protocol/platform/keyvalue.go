package platform

// Path, header and parameters of the Consul KV HTTP API.
// Source: Consul HTTP API documentation, "KV Store" and "Blocking Queries".
const (
	KVPath       = "/v1/kv/"
	IndexHeader  = "X-Consul-Index"
	ParamCAS     = "cas"
	ParamIndex   = "index"
	ParamWait    = "wait"
	ParamRecurse = "recurse"
)

// Pair is a key with its value and the indexes of its creation and last change, as the key-value service returns it.
type Pair struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	CreateIndex uint64 `json:"CreateIndex"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}
