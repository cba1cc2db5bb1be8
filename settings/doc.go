// Package settings reads the settings files of processes and validates them.
package settings
