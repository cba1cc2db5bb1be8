// Package dissemination holds versioned records. VMs compare them by digest and pull only newer ones from one another.
package dissemination
