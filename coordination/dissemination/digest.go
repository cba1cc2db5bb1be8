package dissemination

// Digest identifies the version of one record. CBOR writes it as an array, so the order of its fields is fixed.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	KeyHash uint32
	Version uint64
}
