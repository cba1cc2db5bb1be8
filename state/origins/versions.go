package origins

import "slices"

// Versions holds which versions of each service's software are recorded in the store. A VM records a version before it
// begins the first stream at it, so that a VM which reads the records later knows all versions at which streams may have
// begun.
type Versions struct{ recorded map[string][]string }

// NewVersions returns versions of no service.
func NewVersions() *Versions { return &Versions{recorded: make(map[string][]string)} }

// Add adds a recorded version.
func (v *Versions) Add(service, software string) {
	if !v.Has(service, software) {
		v.recorded[service] = append(v.recorded[service], software)
	}
}

// Remove removes a version whose record is gone.
func (v *Versions) Remove(service, software string) {
	v.recorded[service] = slices.DeleteFunc(v.recorded[service], func(s string) bool { return s == software })
}

// Retain removes the versions that keep rejects.
func (v *Versions) Retain(keep func(service, software string) bool) {
	for service, versions := range v.recorded {
		v.recorded[service] = slices.DeleteFunc(versions, func(software string) bool { return !keep(service, software) })
	}
}

// Has reports whether a version is recorded.
func (v *Versions) Has(service, software string) bool {
	return slices.Contains(v.recorded[service], software)
}

// HasSeveral reports whether a service has several recorded versions, so that each stream's own must be known.
func (v *Versions) HasSeveral(service string) bool { return len(v.recorded[service]) > 1 }

// Evidence is what a VM has read in the store, after a caller took a stream up, of the service that began it.
type Evidence struct {
	// Recorded holds the versions that are recorded.
	Recorded []string
	// Listed holds the version of each listed runner, or "" if its entry names none.
	Listed []string
}

// Sole returns the version at which every stream of the service has begun, or false if there may be several. A stream may
// have begun at a listed runner whose version was not yet recorded, if it started again under its name.
func (e Evidence) Sole() (string, bool) {
	if len(e.Recorded) != 1 {
		return "", false
	}
	sole := e.Recorded[0]
	if slices.ContainsFunc(e.Listed, func(software string) bool { return software != sole }) {
		return "", false
	}
	return sole, sole != ""
}
