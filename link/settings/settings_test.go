package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validSettings = `instance: entry-a1
zone: a
listen:
  caller: 127.0.0.1:8101
  peer: 127.0.0.1:8201
  admin: 127.0.0.1:8301
platform:
  log: http://127.0.0.1:7001
  directory: http://127.0.0.1:7002
  ratings: http://127.0.0.1:7003
keys:
  peer: 0123456789abcdef
  callers:
    - {workspace: desk, key: 0123456789abcdef}
  sessions:
    - {id: k1, secret: 0123456789abcdef}
`

func TestParseEntry(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		want []string
	}{
		{"valid", "", "", nil},
		{"unknown key", "zone: a", "zome: a", []string{"f.yaml", "[2:", "zome"}},
		{"wrong type", "instance: entry-a1", "instance: [1]", []string{"f.yaml", "[1:"}},
		{"bad instance", "instance: entry-a1", "instance: Entry", []string{"f.yaml:1", "instance"}},
		{"no zone", "zone: a\n", "", []string{"f.yaml", "zone"}},
		{"host name instead of an IP address", "caller: 127.0.0.1:8101", "caller: localhost:8101", []string{"f.yaml:4", "listen.caller"}},
		{"port 0", "peer: 127.0.0.1:8201", "peer: 127.0.0.1:0", []string{"f.yaml:5", "listen.peer"}},
		{"bad URL", "log: http://127.0.0.1:7001", "log: 127.0.0.1", []string{"f.yaml:8", "platform.log"}},
		{"unknown key beside secrets", "  callers:", "  caller:", []string{"f.yaml", "[13:", "caller"}},
		{"short secret", "{id: k1, secret: 0123456789abcdef}", "{id: k1, secret: x}", []string{"f.yaml:16", "keys.sessions[0].secret"}},
		{"no partitions", "zone: a", "zone: a\nclaim-partitions: 0", []string{"f.yaml:3", "claim-partitions"}},
		{"no drain", "zone: a", "zone: a\ndrain-ms: -1", []string{"f.yaml:3", "drain-ms"}},
		{"bad level", "zone: a", "zone: a\nlog-level: loud", []string{"f.yaml:3", "log-level"}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			e, err := ParseEntry("f.yaml", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if test.want == nil {
				So(err, ShouldBeNil)
				So(e.ClaimPartitions, ShouldEqual, DefaultClaimPartitions)
				return
			}
			So(err, ShouldNotBeNil)
			for _, part := range test.want {
				So(err.Error(), ShouldContainSubstring, part)
			}
			So(err.Error(), ShouldNotContainSubstring, "0123456789abcdef")
		})
	}
}

func TestLoadEntry(t *testing.T) {
	Convey("The error for a missing file names the file", t, func() {
		_, err := LoadEntry("/nowhere/f.yaml")
		So(err.Error(), ShouldContainSubstring, "/nowhere/f.yaml")
	})
}
