package amount

import "math"

// Add returns a + b, limited to the range of int64.
func Add(a, b int64) int64 {
	switch sum := a + b; {
	case a > 0 && b > 0 && sum < 0:
		return math.MaxInt64
	case a < 0 && b < 0 && sum >= 0:
		return math.MinInt64
	default:
		return sum
	}
}

// Mul returns the product of two counts that are not negative, limited to the range of int64.
func Mul(a, b int64) int64 {
	if a > 0 && b > math.MaxInt64/a {
		return math.MaxInt64
	}
	return a * b
}

// FromFloat returns f without its fraction, limited to the range of int64; 0 if f is not a number.
func FromFloat(f float64) int64 {
	switch {
	case math.IsNaN(f):
		return 0
	case f >= math.MaxInt64:
		return math.MaxInt64
	case f <= math.MinInt64:
		return math.MinInt64
	default:
		return int64(f)
	}
}
