// Package billing prices answers and folds bill records so that each request counts once.
package billing
