// Package workspaces describes the workspaces to which callers belong, with their limits.
package workspaces
