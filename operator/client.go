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
	defaultAdminURL = "http://127.0.0.1:8301"
	callTimeout     = 15 * time.Second
	keyEnv          = "FOXTAILBRIDGE_OPERATOR_KEY"
	adminURLEnv     = "FOXTAILBRIDGE_ADMIN"
)

// adminFlags holds the flags that all commands that call an instance share.
type adminFlags struct {
	adminURL   string
	keyFile    string
	jsonOutput bool
}

func (c *adminFlags) setFlags(f *flag.FlagSet) {
	admin := os.Getenv(adminURLEnv)
	if admin == "" {
		admin = defaultAdminURL
	}
	f.StringVar(&c.adminURL, "admin", admin, "the administration `URL` of an entry instance, also from "+adminURLEnv)
	f.StringVar(&c.keyFile, "key-file", "", "the `file` with the operator key; without it, the key is taken from "+keyEnv)
	f.BoolVar(&c.jsonOutput, "json", false, "print the response as JSON")
}

var errNoKey = errors.New("no operator key: give -key-file or set " + keyEnv)

func (c *adminFlags) readKey() (string, error) {
	if c.keyFile == "" {
		if key := os.Getenv(keyEnv); key != "" {
			return key, nil
		}
		return "", errNoKey
	}
	data, err := os.ReadFile(c.keyFile)
	return strings.TrimSpace(string(data)), err
}

func (c *adminFlags) newClient() (adminv1connect.AdminServiceClient, error) {
	key, err := c.readKey()
	if err != nil {
		return nil, err
	}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, request)
		}
	})
	return adminv1connect.NewAdminServiceClient(http.DefaultClient, c.adminURL, connect.WithInterceptors(authorize)), nil
}

// callAdmin calls one method of the administration API with a timeout of callTimeout and
// prints the response.
func callAdmin[Req, Resp any](
	ctx context.Context,
	c *adminFlags,
	request *Req,
	method func(adminv1connect.AdminServiceClient) func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
	print func(*Resp),
) (*Resp, subcommands.ExitStatus) {
	client, err := c.newClient()
	if err != nil {
		return nil, printError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := method(client)(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, printCallError(err)
	}
	if !c.jsonOutput {
		print(response.Msg)
		return response.Msg, subcommands.ExitSuccess
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(response.Msg); err != nil {
		return nil, printError(err)
	}
	return response.Msg, subcommands.ExitSuccess
}

func printError(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "operator:", err)
	return subcommands.ExitFailure
}

func printCallError(err error) subcommands.ExitStatus {
	status := printError(err)
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		return exitUncertain
	}
	return status
}
