package decay

import (
	"math"
	"time"
)

// After returns what is left of a value after a time, half of it after each half-life.
func After(value float64, passed, halfLife time.Duration) float64 {
	if passed <= 0 {
		return value
	}
	return value * math.Exp2(-float64(passed)/float64(halfLife))
}

// Rate returns the amount a second of a decaying sum to which amounts are added as they come.
func Rate(sum float64, halfLife time.Duration) float64 { return sum * math.Ln2 / halfLife.Seconds() }
