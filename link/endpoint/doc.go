// Package endpoint speaks to the back ends: model engines and plain services.
package endpoint
