// Package eventlog writes structured log events. Each kind of event has a number and a catalogue entry.
package eventlog
