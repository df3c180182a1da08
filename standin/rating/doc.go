// Package rating is a stand-in for the platform's service that rates answers.
package rating
