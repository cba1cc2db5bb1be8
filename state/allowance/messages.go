package allowance

import "time"

// Report is what one process of a VM has spent.
type Report struct {
	// Incarnation distinguishes the process from earlier ones of the VM, whose spending still counts.
	Incarnation string `cbor:"1,keyasint"`
	// Partial is the time since the start of the first bin, which still grows.
	Partial    time.Duration `cbor:"2,keyasint,omitempty"`
	Workspaces []Spending    `cbor:"3,keyasint,omitempty"`
}

// Summary is what the other processes have spent together, as the aggregator knows it.
type Summary struct {
	Partial    time.Duration `cbor:"1,keyasint,omitempty"`
	Workspaces []Spending    `cbor:"2,keyasint,omitempty"`
	// Reporting is the number of VMs that have reported recently, or zero while the aggregator cannot know it yet.
	Reporting int `cbor:"3,keyasint,omitempty"`
	// Truncated means that there are more workspaces, of which nothing is known.
	Truncated bool `cbor:"4,keyasint,omitempty"`
	// Heard is the number of VMs that have reported to a new aggregator that knows nothing of an earlier one, while Reporting is
	// zero.
	Heard int `cbor:"5,keyasint,omitempty"`
}

// Spending is the spending and the demand of one workspace.
type Spending struct {
	Workspace string `cbor:"1,keyasint"`
	// Bins holds the tokens spent by age, in bins of half a second from the youngest on, without the zeros at the end.
	Bins []int64 `cbor:"2,keyasint,omitempty"`
	// Demand is the rate of tokens asked for, including refused ones.
	Demand int64 `cbor:"3,keyasint,omitempty"`
	// Unseen estimates, in a summary, the tokens that were asked for after the reports that it sums up.
	Unseen int64 `cbor:"4,keyasint,omitempty"`
}
