// Package clock tells a time that goes on while the VM is suspended and does not follow jumps of the time of day.
package clock
