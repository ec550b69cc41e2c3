// Package cost estimates how much work a request is likely to need, and how fast each backend
// server works, from the service times that a node observes.
//
// Requests are grouped into classes by what is known before they run. A class with few samples
// is completed by the samples of its route, and a route by those of its service (shrinkage, as
// in empirical Bayes estimation). Each group keeps a histogram of service times whose weight
// decays, so that quantiles and the mean follow a mix that shifts. Histograms with
// logarithmic buckets bound the relative error of a quantile (HdrHistogram, DDSketch).
//
// Service times are compared with the estimate of their class to learn the relative speed of
// each backend server, so that one slow server does not make its requests look heavy.
//
// The package reads no clock and knows nothing about placement; see package routing, which
// sends a request to the least expected completion time (join the shortest expected wait,
// over a bounded sample of servers: Mitzenmacher, "The power of two choices in randomized load
// balancing"), and package admission, which sums up the remaining work of a backend server.
package cost
