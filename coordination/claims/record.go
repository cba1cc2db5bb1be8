package claims

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// Slots is the number of keys in the key-value service over which claims are spread.
	Slots = 256
	// keyPrefix starts the keys of slots.
	keyPrefix = "zinniaroute/claims/"
	// MaxRecordedBytes is the size of the largest answer that is recorded for retries.
	MaxRecordedBytes = 1 << 10
	// RunningTimeout is the age at which a claim without an outcome becomes uncertain.
	RunningTimeout = 10 * time.Minute
	// maxSlotBytes is the size of the largest slot. It leaves a margin below the key-value service's limit of 1 MiB a
	// value.
	maxSlotBytes = 900 << 10
)

// Status is the state of a claim.
type Status string

// The states of a claim.
const (
	// Won means that the request has the claim and may run.
	Won Status = "won"
	// Running means that another request with the key is in progress.
	Running Status = "running"
	// Done means that the request has run and its answer is recorded.
	Done Status = "done"
	// DoneUnrecorded means that the request has run and its answer was too large to record.
	DoneUnrecorded Status = "doneUnrecorded"
	// Uncertain means that the request may have run and its answer is lost.
	Uncertain Status = "uncertain"
	// Mismatch means that the key was used for another request.
	Mismatch Status = "mismatch"
	// Unavailable means that no claim was made: the key-value service did not answer in time or the slot is full.
	Unavailable Status = "unavailable"
)

// Answer is the recorded HTTP answer of a claimed request.
type Answer struct {
	HTTPStatus  int    `json:"httpStatus" cbor:"1,keyasint,omitempty"`
	ContentType string `json:"contentType" cbor:"2,keyasint,omitempty"`
	Body        []byte `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
}

// Claim is one key's entry in a slot.
type Claim struct {
	// Key is the hash of the idempotency key and its scope.
	Key         string    `json:"key"`
	RequestID   string    `json:"requestId"`
	Fingerprint uint64    `json:"fingerprint"`
	Status      Status    `json:"status"`
	ClaimedAt   time.Time `json:"at"`
	ExpiresAt   time.Time `json:"expires"`
	Answer      *Answer   `json:"answer,omitempty"`
}

// slotRecord is a slot as stored in the key-value service.
type slotRecord struct {
	Claims []Claim `json:"claims"`
}

func decodeSlot(value []byte) (slotRecord, error) {
	var record slotRecord
	if len(value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode claims")
}

// SlotOf returns the slot of an idempotency key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % Slots) }

// SlotKey returns the key of a slot in the key-value service.
func SlotKey(slot int) string { return fmt.Sprintf("%s%03d", keyPrefix, slot) }

// find returns the index of a key's claim, or -1. Call prune first: find does not check the expiry.
func (r *slotRecord) find(key string) int {
	for i := range r.Claims {
		if r.Claims[i].Key == key {
			return i
		}
	}
	return -1
}

// prune removes the expired claims.
func (r *slotRecord) prune(now time.Time) {
	kept := make([]Claim, 0, len(r.Claims)+1)
	for _, claim := range r.Claims {
		if now.Before(claim.ExpiresAt) {
			kept = append(kept, claim)
		}
	}
	r.Claims = kept
}
