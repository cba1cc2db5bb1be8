// Package control is the control process of a VM. It distributes the catalog and observes runners; while it holds the
// controller lease, it orders runners to load and unload models.
package control
