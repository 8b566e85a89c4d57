package vmlist

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestWatcher(t *testing.T) {
	var listErr error
	vms := []VM{{Addr: "10.0.0.1", Leaving: true}, {Addr: "10.0.0.2:7101"}, {Addr: "10.0.0.3:7101", Leaving: true}}
	w := &Watcher{List: func(context.Context) ([]VM, error) { return vms, listErr }}
	assert.Equal(t, len(w.VMs()), 0)
	w.read(context.Background())
	assert.DeepEqual(t, w.Addrs(7101), []string{"10.0.0.1:7101", "10.0.0.2:7101", "10.0.0.3:7101"})
	assert.Assert(t, w.Leaving("10.0.0.1:7001"))
	assert.Assert(t, !w.Leaving("10.0.0.2:7101"))
	assert.Assert(t, w.Leaving("10.0.0.3:7101"))
	assert.Assert(t, !w.Leaving("10.0.0.3:7999"))
	listErr = errors.New("platform down")
	w.read(context.Background())
	assert.Equal(t, len(w.VMs()), 3, "the previous list must stay in use")
}

// oddEntries are entries of the list that name no VM.
var oddEntries = map[string]string{
	"null":              `null`,
	"a text":            `"10.0.0.1"`,
	"a number":          `1e400`,
	"a list":            `[]`,
	"no address":        `{}`,
	"empty address":     `{"addr":""}`,
	"address by name":   `{"addr":"vm-1"}`,
	"number":            `{"addr":1e400}`,
	"port 0":            `{"addr":"10.0.0.1:0"}`,
	"port 65536":        `{"addr":"10.0.0.1:65536"}`,
	"port -1":           `{"addr":"10.0.0.1:-1"}`,
	"no port":           `{"addr":"10.0.0.1:"}`,
	"unspecified":       `{"addr":"0.0.0.0"}`,
	"unspecified, port": `{"addr":"[::]:80"}`,
	"multicast":         `{"addr":"224.0.0.1"}`,
	"zone":              `{"addr":"fe80::1%lo"}`,
	"leaving text":      `{"addr":"10.0.0.1","leaving":"no"}`,
	"domain number":     `{"addr":"10.0.0.1","failure_domain":1e400}`,
	"nested":            strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
	"nested field":      `{"addr":` + strings.Repeat(`{"a":`, 9_000) + "0" + strings.Repeat("}", 9_000) + `}`,
	"control character": `{"addr":"10.0.0.1\u0000"}`,
}

// TestOddEntryHidesNoOthers guards against a list that is followed no more for one odd entry.
func TestOddEntryHidesNoOthers(t *testing.T) {
	for name, entry := range oddEntries {
		t.Run(name, func(t *testing.T) {
			vms, err := decode([]byte(`{"vms":[` + entry + `,{"addr":"10.0.0.2","failure_domain":"a","leaving":true},` + entry + `]}`))
			assert.ErrorIs(t, err, ErrIncomplete)
			assert.Assert(t, len(err.Error()) < 2000)
			assert.DeepEqual(t, vms, []VM{{Addr: "10.0.0.2", FailureDomain: "a", Leaving: true}})
		})
	}
}

// TestListThatIsNoneIsAnError guards against a list that seems to be empty.
func TestListThatIsNoneIsAnError(t *testing.T) {
	for name, body := range map[string]string{
		"empty": "", "null": "null", "nothing in it": "{}", "a list": `[]`, "text": `{"vms":"x"}`, "not UTF-8": "\xff", "nested": `{"vms":` + strings.Repeat("[", 2_000_000),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decode([]byte(body))
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, ErrIncomplete))
		})
	}
}

// TestOddEntryIsReportedOnce guards against a log line at each read of the list.
func TestOddEntryIsReportedOnce(t *testing.T) {
	body, reported := `{"vms":[{},{"addr":"10.0.0.2"}]}`, 0
	w := &Watcher{
		List:    func(context.Context) ([]VM, error) { return decode([]byte(body)) },
		OnError: func(error) { reported++ },
	}
	for range 5 {
		w.read(context.Background())
	}
	assert.Equal(t, reported, 1)
	assert.DeepEqual(t, w.Addrs(1), []string{"10.0.0.2:1"})
	body = `{"vms":[{"addr":"10.0.0.3"}]}`
	w.read(context.Background())
	assert.DeepEqual(t, w.Addrs(1), []string{"10.0.0.3:1"})
	body = `{"vms":[{}]}`
	w.read(context.Background())
	assert.Equal(t, reported, 2)
}
