package relay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// minPackedBytes is the size from which a value is compressed in views. Only configurations are larger.
	minPackedBytes = 16 << 10
	// maxValueBytes bounds a value after decompression. The store accepts 1 MiB.
	maxValueBytes = 4 << 20
)

// isLarge reports whether the value is compressed, or is large enough to be.
func (i Item) isLarge() bool { return i.Packed || len(i.Value) >= minPackedBytes }

// pack returns the item with its value compressed.
func (i Item) pack() Item {
	var packed bytes.Buffer
	// The level is valid, and writes to a buffer never fail.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(i.Value)
	_ = w.Close()
	i.Value, i.Packed = packed.Bytes(), true
	return i
}

// Unpacked returns the item with its value as the store holds it.
func (i Item) Unpacked() (Item, error) {
	if !i.Packed {
		return i, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(i.Value)), maxValueBytes+1))
	if err != nil {
		return i, errors.Wrapf(err, "decompress the value of %s", i.Key)
	}
	if len(value) > maxValueBytes {
		return i, errors.Errorf("the value of %s exceeds %d bytes", i.Key, maxValueBytes)
	}
	i.Value, i.Packed = value, false
	return i, nil
}
