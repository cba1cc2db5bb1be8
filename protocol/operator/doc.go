// Package operator defines the HTTP paths and messages between zinniactl and a control.
package operator
