package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"foxtailbridge/link/admin/adminv1/adminv1connect"
)

const (
	defaultAdmin = "http://127.0.0.1:8301"
	callTimeout  = 15 * time.Second
	envKey       = "FOXTAILBRIDGE_OPERATOR_KEY"
	envAdmin     = "FOXTAILBRIDGE_ADMIN"
)

// connection holds the flags that every call to an instance shares.
type connection struct {
	admin   string
	keyFile string
	json    bool
}

func (c *connection) setFlags(f *flag.FlagSet) {
	admin := os.Getenv(envAdmin)
	if admin == "" {
		admin = defaultAdmin
	}
	f.StringVar(&c.admin, "admin", admin, "the administration `URL` of an entry instance, also from "+envAdmin)
	f.StringVar(&c.keyFile, "key-file", "", "the `file` with the operator key; without it, the key is taken from "+envKey)
	f.BoolVar(&c.json, "json", false, "print JSON for programs")
}

var errNoKey = errors.New("no operator key: give -key-file or set " + envKey)

func (c *connection) key() (string, error) {
	if c.keyFile == "" {
		if key := os.Getenv(envKey); key != "" {
			return key, nil
		}
		return "", errNoKey
	}
	data, err := os.ReadFile(c.keyFile)
	return strings.TrimSpace(string(data)), err
}

func (c *connection) client() (adminv1connect.AdminServiceClient, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, request)
		}
	})
	return adminv1connect.NewAdminServiceClient(http.DefaultClient, c.admin, connect.WithInterceptors(authorize)), nil
}

// ask makes one call within the timeout and prints its answer.
func ask[Q, A any](
	ctx context.Context,
	c *connection,
	request *Q,
	method func(adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[Q]) (*connect.Response[A], error),
	print func(*A),
) (*A, subcommands.ExitStatus) {
	client, err := c.client()
	if err != nil {
		return nil, fail(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := method(client)(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, failCall(err)
	}
	if !c.json {
		print(response.Msg)
		return response.Msg, subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(response.Msg); err != nil {
		return nil, fail(err)
	}
	return response.Msg, subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "operator:", err)
	return subcommands.ExitFailure
}

func failCall(err error) subcommands.ExitStatus {
	status := fail(err)
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUncertain
	}
	return status
}
