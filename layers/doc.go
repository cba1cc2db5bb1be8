// Package layers tests rules that apply to the source of all packages, such as which package may import which.
package layers
