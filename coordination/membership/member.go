package membership

import "net/netip"

// Member is the record that a VM publishes about itself.
type Member struct {
	Name     string         `cbor:"1,keyasint" json:"name"`
	Domain   string         `cbor:"2,keyasint" json:"domain"`
	Address  netip.AddrPort `cbor:"3,keyasint" json:"address"`
	Sequence uint64         `cbor:"4,keyasint" json:"sequence"`
	// Leaving reports that the VM is shutting down.
	Leaving bool `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"`
	// Revision is the catalog revision in force in the VM's control. EntryRevision is the one in force in its entry.
	Revision      uint64 `cbor:"6,keyasint" json:"revision"`
	EntryRevision uint64 `cbor:"7,keyasint,omitempty" json:"entryRevision,omitempty"`
	// Term is the fencing number of the domain's controller lease while the VM holds it, or zero.
	Term uint64 `cbor:"8,keyasint,omitempty" json:"term,omitempty"`
}

// Key returns the VM's name, which identifies the record.
func (m Member) Key() string { return m.Name }

// Version returns the sequence number. It grows with each heartbeat and each restart, so that the latest record wins.
func (m Member) Version() uint64 { return m.Sequence }
