// Package members polls the platform's directory of instances and endpoints.
package members
