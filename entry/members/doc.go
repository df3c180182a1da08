// Package members follows the platform's list of instances and endpoints.
package members
