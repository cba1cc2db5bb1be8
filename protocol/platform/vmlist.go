package platform

// TargetGroup is an element of the VM list, which has the JSON format of HTTP service discovery.
// Source: Prometheus documentation, "HTTP SD".
type TargetGroup struct {
	Targets []string     `json:"targets"`
	Labels  TargetLabels `json:"labels"`
}

// TargetLabels holds the labels of a target group that the project reads.
type TargetLabels struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Role is RoleEntry or RoleEndpoint.
	Role string `json:"role"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}

// Roles and states of VMs in the VM list.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VMListPath is the path of the VM list on the platform's server.
const VMListPath = "/v1/vms"
