package follow

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"

	"rosevalve/internal/protocol/inner"
)

const (
	// minPackedSize is the size in bytes from which on a value is packed.
	minPackedSize = 4 << 10
	// maxUnpackedSize is the largest size in bytes of a value that is unpacked.
	maxUnpackedSize = 4 << 20
	// packingLevel trades processor time for size; higher levels of flate take several times as long for a few percent.
	packingLevel = 3
)

// packedValues holds the packed values of large rows, since many routers ask for the same ones at the same time.
type packedValues struct {
	mu    sync.Mutex // guards byKey; held while a value is packed, so that it is packed once
	byKey map[string]packedValue
}

// packedValue is the packed value of one version of a row.
type packedValue struct {
	era, version uint64
	data         []byte
}

// pack replaces the value of a row of an era by the packed one if that is worthwhile.
func (p *packedValues) pack(r *inner.FollowedRow, era uint64) {
	if len(r.Value) < minPackedSize {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.byKey[r.Key]
	if !ok || known.era != era || known.version != r.Version {
		known = packedValue{era: era, version: r.Version, data: deflate(r.Value)}
		if p.byKey == nil {
			p.byKey = make(map[string]packedValue)
		}
		p.byKey[r.Key] = known
	}
	if len(known.data) < len(r.Value) {
		r.Value, r.Packed = known.data, true
	}
}

func deflate(value []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, packingLevel)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	return out.Bytes()
}

// unpack returns the value of a row as it is in the store.
func unpack(r inner.FollowedRow) ([]byte, error) {
	if !r.Packed {
		return r.Value, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Value)), maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("unpack row %q: %w", r.Key, err)
	}
	if len(value) > maxUnpackedSize {
		return nil, fmt.Errorf("unpack row %q: larger than %d bytes", r.Key, maxUnpackedSize)
	}
	return value, nil
}
