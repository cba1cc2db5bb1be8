package publication

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/zinniaroute/zinniaroute/state/catalog"
)

const (
	// HeadKey is the key of the catalog's head.
	HeadKey = "zinniaroute/catalog/head"
	// ChunkPrefix starts the keys of chunks.
	ChunkPrefix = "zinniaroute/catalog/chunks/"
	// Buckets is the number of chunks over which objects are spread.
	Buckets = 16
	// HistoryLength is the number of past changes that the head keeps.
	HistoryLength = 64
)

// Chunk refers to the stored objects of one bucket by key and SHA-256 digest.
type Chunk struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Change is the record of one published change.
type Change struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Put      int       `json:"put"`
	Deleted  int       `json:"deleted"`
	Summary  string    `json:"summary,omitempty"`
}

// Head is the root of a published catalog.
type Head struct {
	Revision uint64         `json:"revision"`
	Chunks   [Buckets]Chunk `json:"chunks"`
	// History holds the latest changes, newest first. The first of them produced this head.
	History []Change `json:"history"`
}

// Find returns the change with an ID, or false if it is not among the last HistoryLength changes.
func (h *Head) Find(changeID string) (Change, bool) {
	at := slices.IndexFunc(h.History, func(c Change) bool { return c.ID == changeID })
	if at < 0 {
		return Change{}, false
	}
	return h.History[at], true
}

// DecodeHead parses a stored head. Before the first change the value is empty, and the head is zero.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if len(value) == 0 {
		return head, nil
	}
	err := json.Unmarshal(value, &head)
	return head, errors.Wrap(err, "decode catalog head")
}

// bucketOf returns the bucket to which an object belongs.
func bucketOf(key catalog.Key) int { return int(xxhash.Sum64String(key.String()) % Buckets) }

// Snapshot is the whole published catalog at one revision.
type Snapshot struct {
	Head    Head
	Objects []catalog.Object
}

// chunk is an encoded bucket and the reference to it.
type chunk struct {
	ref   Chunk
	value []byte
}

// encodeChunk encodes a bucket's objects. The key holds the change's ID, so that no other change ever writes it.
func encodeChunk(objects []catalog.Object, changeID string, bucket int) (chunk, error) {
	value, err := json.Marshal(objects)
	if err != nil {
		return chunk{}, errors.Wrap(err, "encode chunk")
	}
	digest := digestOf(value)
	key := fmt.Sprintf("%s%s/%02d-%s", ChunkPrefix, changeID, bucket, digest[:12])
	return chunk{ref: Chunk{Key: key, Digest: digest}, value: value}, nil
}

func digestOf(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// DecodeChunk checks a stored chunk against the digest of its reference and returns its objects.
func DecodeChunk(ref Chunk, value []byte) ([]catalog.Object, error) {
	if digestOf(value) != ref.Digest {
		return nil, errors.Errorf("chunk %s does not match its digest", ref.Key)
	}
	var objects []catalog.Object
	err := json.Unmarshal(value, &objects)
	return objects, errors.Wrapf(err, "decode chunk %s", ref.Key)
}
