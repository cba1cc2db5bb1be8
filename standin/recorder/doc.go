// Package recorder records the header lines that a stand-in receives, so that tests can check what must not leave a process.
package recorder
