package promises

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/link/caller"
	"foxtailbridge/policy/claim"
)

func TestBadInput(t *testing.T) {
	const chatPath, refundPath = "/v1/chat/completions", "/v1/services/stock/refund"
	const hello = `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
	tables := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
		code    caller.Code
	}{
		{"no key", chatPath, hello, []string{"Authorization", ""}, 401, caller.CodeNoKey},
		{"wrong key", chatPath, hello, []string{"Authorization", "Bearer nope"}, 401, caller.CodeWrongKey},
		{"not a bearer key", chatPath, hello, []string{"Authorization", "Basic ZGVzay1rZXk="}, 401, caller.CodeWrongKey},
		{"oversized body", chatPath, `{"model":"` + strings.Repeat("x", 5<<20) + `"}`, nil, 413, caller.CodeTooLarge},
		{"not JSON", chatPath, `{"model":`, nil, 400, caller.CodeBadRequest},
		{"two JSON values", chatPath, hello + hello, nil, 400, caller.CodeBadRequest},
		{"invalid UTF-8", chatPath, "{\"model\":\"small\xff\"}", nil, 400, caller.CodeBadRequest},
		{"no model", chatPath, `{"messages":[{"role":"user","content":"hi"}]}`, nil, 400, caller.CodeBadRequest},
		{"no messages", chatPath, `{"model":"small"}`, nil, 400, caller.CodeBadRequest},
		{"message without content", chatPath, `{"model":"small","messages":[{"role":"user"}]}`, nil, 400, caller.CodeBadRequest},
		{"several completions requested", chatPath, `{"model":"small","n":2,"messages":[{"role":"user","content":"hi"}]}`, nil, 400, caller.CodeBadRequest},
		{"zero tokens requested", chatPath, `{"model":"small","max_tokens":0,"messages":[{"role":"user","content":"hi"}]}`, nil, 400, caller.CodeBadRequest},
		{"unknown model", chatPath, `{"model":"huge","messages":[{"role":"user","content":"hi"}]}`, nil, 404, caller.CodeUnknownModel},
		{"version not allowed", chatPath, `{"model":"huge@1","messages":[{"role":"user","content":"hi"}]}`, nil, 403, caller.CodeNotAllowed},
		{"control character in a header", chatPath, hello, []string{"Request-Class", "a\x01b"}, 400, caller.CodeBadHeader},
		{"long key", chatPath, hello, []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, caller.CodeBadHeader},
		{"bad session token", chatPath, hello, []string{"Session-Token", "a.b"}, 400, caller.CodeBadSession},
		{"service not permitted", refundPath, `{}`, []string{"Authorization", "Bearer audits-key"}, 403, caller.CodeNotAllowed},
		{"unknown call", "/v1/services/stock/burn", `{}`, nil, 404, caller.CodeNotFound},
		{"unknown service", "/v1/services/none/refund", `{}`, nil, 403, caller.CodeNotAllowed},
		{"unknown path", "/v2/nothing", `{}`, nil, 404, caller.CodeNotFound},
	}
	runInEnv(t, "invalid input gets a problem response and runs nothing", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		for _, table := range tables {
			got := a.send(http.MethodPost, table.path, table.body, table.headers...)
			So(table.name+": "+got.code, ShouldEqual, table.name+": "+string(table.code))
			So(got.status, ShouldEqual, table.status)
			So(got.outcome, ShouldEqual, claim.StateNotRun)
			So(got.header.Get("Content-Type"), ShouldEqual, "application/problem+json")
			var problem caller.Problem
			So(json.Unmarshal([]byte(got.body), &problem), ShouldBeNil)
			So(problem.Detail, ShouldNotBeEmpty)
		}
		So(startsAfter(env.engines["engine-a"].Events(), 0), ShouldBeEmpty)
		So(env.services["stock-a"].Runs(), ShouldBeEmpty)
		So(env.ledger().Bills(), ShouldBeEmpty)
		So(a.chat("small", "still serving").completed(), ShouldBeTrue)
	})
}

func TestModels(t *testing.T) {
	runInEnv(t, "a workspace sees only the active models that it may use", instance.Options{}, func(env *testEnv) {
		a, _ := env.startSmall()
		env.publish("ticket: 3\nauthor: op\nversions: [{ref: small@2, state: withdrawn}]")
		got := a.send(http.MethodGet, "/v1/models", "")
		So(got.body, ShouldContainSubstring, `"small@1"`)
		So(got.body, ShouldContainSubstring, `"auto"`)
		So(got.body, ShouldNotContainSubstring, `"small@2"`)
	})
}
