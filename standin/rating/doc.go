// Package rating is a test double of the platform's service that rates answers.
package rating
