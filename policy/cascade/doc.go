// Package cascade plans which model versions answer a request: the cheapest that
// meet the workspace's quality target, and when to escalate to a larger model.
package cascade
