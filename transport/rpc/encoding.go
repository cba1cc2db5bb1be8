package rpc

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"storj.io/drpc"
)

// maxMessageBytes bounds the memory that a message from a faulty peer takes.
const maxMessageBytes = 32 << 20

type encoding struct{}

// encoder writes times in nanoseconds; the library's default truncates them to seconds.
var encoder = mustEncoder(cbor.EncOptions{Time: cbor.TimeRFC3339Nano})

func mustEncoder(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var _ drpc.Encoding = encoding{}

// Marshal encodes a message as CBOR.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	data, err := encoder.Marshal(message)
	return data, errors.Wrap(err, "encode message")
}

// Unmarshal decodes a message from CBOR.
func (encoding) Unmarshal(data []byte, message drpc.Message) error {
	return errors.Wrap(cbor.Unmarshal(data, message), "decode message")
}
