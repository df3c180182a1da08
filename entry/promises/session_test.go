package promises

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/policy/claim"
	"foxtailbridge/standin/engine"
)

const rolloutTicket = `
ticket: 5
author: op
roll-outs: [{name: small-2, state: running, from: small@1, to: small@2, percent: %d}]
`

// versions starts two instances and an engine of each version of the small model.
func (w *world) versions() (a, b *node) {
	w.engine("engine-1", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.engine("engine-2", "b", engine.Config{Version: "small@2", FirstTokenLatency: 20, TokenInterval: 5})
	a = w.node("node-a", "a")
	b = w.node("node-b", "b")
	w.publish(baseTicket)
	w.settle(2 * time.Second)
	return a, b
}

// turns sends requests of one session through the instances in turn and
// returns the versions that answered.
func turns(nodes []*node, count int) []string {
	var versions []string
	token := ""
	for i := range count {
		got := nodes[i%len(nodes)].chat("small", fmt.Sprint("turn ", i), "Session-Token", token)
		versions = append(versions, got.header.Get("Model-Version"))
		token = got.header.Get("Session-Token")
	}
	return versions
}

func TestSessionKeepsItsVersion(t *testing.T) {
	inWorld(t, "through two instances while a roll-out runs to its end", instance.Options{}, func(w *world) {
		a, b := w.versions()
		token := a.chat("small", "first").header.Get("Session-Token")
		for i, percent := range []int{10, 50, 100} {
			w.publish(fmt.Sprintf("ticket: %d\nauthor: op\nroll-outs: [{name: r, state: running, from: small@1, to: small@2, percent: %d}]", 10+i, percent))
			for _, n := range []*node{a, b} {
				got := n.chat("small", fmt.Sprint("turn ", i), "Session-Token", token)
				So(got.header.Get("Model-Version"), ShouldEqual, "small@1")
			}
		}
	})
	inWorld(t, "naive: without a token the roll-out moves the caller", instance.Options{}, func(w *world) {
		a, _ := w.versions()
		So(a.chat("small", "first").header.Get("Model-Version"), ShouldEqual, "small@1")
		w.publish(fmt.Sprintf(rolloutTicket, 100))
		So(a.chat("small", "second").header.Get("Model-Version"), ShouldEqual, "small@2")
	})
	inWorld(t, "a withdrawn version ends the session with a refusal and moves nobody", instance.Options{}, func(w *world) {
		a, b := w.versions()
		token := a.chat("small", "first").header.Get("Session-Token")
		w.publish("ticket: 10\nauthor: op\nversions: [{ref: small@1, state: withdrawn}]")
		got := b.chat("small", "second", "Session-Token", token)
		So(got.code, ShouldEqual, "version-withdrawn")
		So(got.outcome, ShouldEqual, claim.StateNotRun)
		So(w.engines["engine-2"].Events(), ShouldBeEmpty)
	})
	inWorld(t, "a token that was forged or belongs to others is refused", instance.Options{}, func(w *world) {
		a, _ := w.versions()
		token := a.chat("small", "first").header.Get("Session-Token")
		So(a.chat("small", "x", "Session-Token", token+"A").code, ShouldEqual, "bad-session-token")
		So(a.chat("small", "x", "Session-Token", "k9"+token[2:]).code, ShouldEqual, "bad-session-token")
		foreign := a.chat("small", "x", "Session-Token", token, "Authorization", "Bearer audits-key")
		So(foreign.code, ShouldEqual, "bad-session-token")
	})
	inWorld(t, "an instance that never saw the session keeps its version", instance.Options{}, func(w *world) {
		a, b := w.versions()
		w.publish(fmt.Sprintf(rolloutTicket, 50))
		for range 10 {
			seen := turns([]*node{a, b}, 4)
			for _, version := range seen {
				So(version, ShouldEqual, seen[0])
			}
		}
		b.kill()
		c := w.node("node-c", "b")
		w.settle(3 * time.Second)
		So(turns([]*node{a, c}, 2)[0], ShouldNotBeEmpty)
	})
}
