package ticket

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/fault"
)

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		yaml string
		kind Kind
		text string
	}{
		{"zone out", "ticket: 3\nauthor: op\nzones: [{name: a, state: out}]", "", ""},
		{"unknown field", "ticket: 3\nauthor: op\nzone: []", KindSyntax, "zone"},
		{"unknown nested field", "ticket: 3\nauthor: op\nzones:\n  - {name: a, state: out, colour: red}", KindSyntax, "colour"},
		{"not YAML", "ticket: [", KindSyntax, ""},
		{"not UTF-8", "ticket: 3\nauthor: \xff", KindSyntax, "UTF-8"},
		{"wrong type", "ticket: three\nauthor: op", KindSyntax, ""},
		{"number 0", "ticket: 0\nauthor: op\nzones: [{name: a, state: out}]", KindInvalid, "number"},
		{"no author", "ticket: 1\nzones: [{name: a, state: out}]", KindInvalid, "author"},
		{"no objects", "ticket: 1\nauthor: op", KindInvalid, "no object"},
		{"object appears twice", "ticket: 1\nauthor: op\nzones: [{name: a, state: out}, {name: a, state: in}]", KindInvalid, "twice"},
		{"invalid state", "ticket: 1\nauthor: op\nzones: [{name: a, state: away}]", KindInvalid, "in or out"},
		{"invalid version reference", "ticket: 1\nauthor: op\nversions: [{ref: small, state: active}]", KindInvalid, "small"},
		{"invalid quality", "ticket: 1\nauthor: op\nversions: [{ref: small@1, state: active, quality: 2}]", KindInvalid, "quality"},
		{"roll-out over 100 percent", "ticket: 1\nauthor: op\nroll-outs: [{name: r, state: running, from: s@1, to: s@2, percent: 101}]", KindInvalid, "percent"},
		{"roll-out to another model", "ticket: 1\nauthor: op\nroll-outs: [{name: r, state: running, from: s@1, to: t@2}]", KindInvalid, "different models"},
		{"class uses a version that is not allowed", "ticket: 1\nauthor: op\nworkspaces:\n  - {name: w, allowed: [s@1], classes: [{name: c, cheaper: [s@2]}]}", KindInvalid, "allowed"},
		{"too large", "# " + strings.Repeat("x", MaxTicketBytes), KindInvalid, "limit"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			parsed, err := Parse([]byte(test.yaml))
			So(fault.KindOf[Kind](err), ShouldEqual, test.kind)
			if test.kind == "" {
				So(parsed.Number, ShouldEqual, 3)
				return
			}
			So(err.Error(), ShouldContainSubstring, test.text)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("ticket: 3\nauthor: op\nzones: [{name: a, state: out}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err == nil && parsed.Validate() != nil {
			t.Fatal("a parsed ticket does not validate")
		}
	})
}
