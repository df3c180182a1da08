// Package endpoints holds what one instance knows about endpoints: the state of each run of
// an endpoint and the reachability of zones, which endpoints are leaving or want no requests
// for some time, the usual delays, paces and request sizes, and the retry budgets. It picks
// endpoints by that state; it sends nothing itself.
package endpoints
