// Package admission decides which requests a backend server runs, which wait in a queue and
// which are refused. The owner node keeps one Controller per backend server. The package
// reads no clock: every call takes the current time.
//
// The order of the queue is this. Requests of a more urgent rank go before others that arrived
// up to 300 ms per rank earlier, so that in a burst of one kind the urgent and the calls that
// hold slots elsewhere overtake the rest, but a steady stream of them starves nothing. Within a
// rank, the team with the least in flight for its quota goes first, so that while one team
// sends far more than its usual, each other team within its quota gets its part, a large one
// too. Requests of one team, those that state none, and the first of both go by the latest
// start with which they meet their objective after the usual service time of their route, and
// once they cannot meet it by that of their deadline, so that under overload short work is not
// late behind long work and what is late already makes nothing else late.
//
// What cannot start before its deadline in this order is refused as soon as that is forecast
// from the expected work before it, because its ingress node can still try it elsewhere then.
package admission
