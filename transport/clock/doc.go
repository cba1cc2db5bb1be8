// Package clock provides a clock that continues while the VM is suspended and ignores changes of the time of day.
package clock
