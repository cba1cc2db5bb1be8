package decay

import (
	"math"
	"time"
)

// After returns value * 2^(-elapsed/halfLife): a value halves in each half-life. It returns the value unchanged when
// elapsed is not positive.
func After(value float64, elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return value
	}
	return value * math.Exp2(-float64(elapsed)/float64(halfLife))
}

// Rate returns the average amount added a second, from a decaying sum of the amounts: sum * ln 2 / half-life.
func Rate(sum float64, halfLife time.Duration) float64 { return sum * math.Ln2 / halfLife.Seconds() }
