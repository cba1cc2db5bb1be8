// Package engine is a stand-in for a model engine. It accounts for its accelerator memory and answers
// deterministically.
package engine
