// Package limits keeps the requests that all VMs together send to a runner within the limit that the runner names in its
// answers.
package limits
