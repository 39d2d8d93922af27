package member

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/wire"
)

// Guards against an odd entry of another writer that ends the process, stops it from following the
// list, or is taken for a peer.
func TestOddEntryOfAnotherWriterIsNoPeer(t *testing.T) {
	const depth = 100000
	const format = `{"name":"odd","address":%q,"incarnation":%s,"cpu":%s}`
	good := kv.Entry{Key: Prefix + "good", Value: []byte(`{"name":"good","address":"10.0.0.1:7720","incarnation":1,"cpu":400}`)}
	for name, value := range map[string]string{
		"empty":                  "",
		"not JSON":               "\xff\xfe",
		"deeply nested":          strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested in a field":      `{"name":"odd","address":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth) + "}",
		"number too large":       fmt.Sprintf(format, "10.0.0.2:7720", "1", "1e400"),
		"incarnation too large":  fmt.Sprintf(format, "10.0.0.2:7720", "184467440737095516160", "1"),
		"port out of range":      fmt.Sprintf(format, "10.0.0.2:99999", "1", "1"),
		"negative port":          fmt.Sprintf(format, "10.0.0.2:-1", "1", "1"),
		"port 0":                 fmt.Sprintf(format, "10.0.0.2:0", "1", "1"),
		"host name":              fmt.Sprintf(format, "other.example:7720", "1", "1"),
		"name of another":        `{"name":"good","address":"10.0.0.3:7720","incarnation":99}`,
		"fields of another type": `{"name":"odd","address":7,"incarnation":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			odd := kv.Entry{Key: Prefix + "odd", Value: []byte(value)}
			listed := newDirectory(wire.Peer{Name: "self"}, time.Second, time.Second, zap.NewNop())
			listed.replace([]kv.Entry{odd, good}, time.Now(), false)
			watched := newDirectory(wire.Peer{Name: "self"}, time.Second, time.Second, zap.NewNop())
			watched.apply([]kv.Change{{Entry: odd}, {Entry: good}}, false)
			for _, d := range []*directory{listed, watched} {
				if peers := d.snapshot.Load().Direct; len(peers) != 1 || peers[0].Address != "10.0.0.1:7720" {
					t.Errorf("peers %+v, want the good one", peers)
				}
			}
		})
	}
}
