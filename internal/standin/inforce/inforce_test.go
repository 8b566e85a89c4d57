package inforce

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPercentile(t *testing.T) {
	var values []time.Duration
	for i := range 100 {
		values = append(values, time.Duration(100-i)*time.Millisecond)
	}
	assert.Equal(t, percentile(values, 50), int64(50))
	assert.Equal(t, percentile(values, 99), int64(99))
	assert.Equal(t, percentile(values, 100), int64(100))
	assert.Equal(t, percentile(nil, 50), int64(0))
}
