package membership

import (
	"math/rand/v2"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Options configures a Core. Zero values take the defaults below.
type Options struct {
	// Self is the first record of the local node.
	Self registry.Node
	// Seeds are addresses that are contacted at start and probed now and then.
	Seeds []string
	// Rand is the source of every random choice. It is required.
	Rand *rand.Rand

	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// AckTimeout is the wait for an ack before indirect probes are sent.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on our behalf.
	IndirectProbes int
	// SuspicionTimeout is the time that a member has to refute a suspicion.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead record is kept, so that a stale copy held
	// by another node does not bring the member back. It exceeds the hour for
	// which regions can lose contact.
	DeadRetention time.Duration
	// DeadProbeInterval is the time between probes of a dead member or a seed,
	// by which the halves of a healed partition find each other.
	DeadProbeInterval time.Duration
	// SyncInterval is the time between two directory syncs with a random peer.
	SyncInterval time.Duration
	// MismatchDelay is how long the directory digest must differ from those of all
	// peers that are heard before a sync with one of them is started early.
	MismatchDelay time.Duration
	// PiggybackBytes bounds the updates in one datagram.
	PiggybackBytes int
	// TransmitFactor times log2(members) is the number of transmissions of an update.
	TransmitFactor int
	// PreferLocalDomain prefers the own failure domain: a round of probes covers it and
	// a few other members, and a fresh update goes to one member anywhere and
	// otherwise stays in the domain. Links between regions are paid by volume.
	PreferLocalDomain bool
	// Fanout is the number of peers that a fresh update is sent to at once.
	Fanout int
	// BytesPerSecond is the send budget in bytes per second, IP and UDP headers included.
	BytesPerSecond int
	// BurstBytes is the depth of the token bucket.
	BurstBytes int
	// MaxRecordBytes is the largest full record sent in one datagram; larger ones
	// are sent in parts. A datagram above the usual MTU would be lost as a whole
	// with any of its fragments.
	MaxRecordBytes int

	// Disable switches mechanisms off. It exists for tests and measurements.
	Disable Mechanisms
}

// Mechanisms names parts of the protocol that tests and measurements switch
// off to show what each of them prevents.
type Mechanisms struct {
	IndirectProbes bool
	PauseRule      bool
	Refutation     bool
	// SuspectChecks lets a suspecting node probe again and wait for a suspect
	// that was heard.
	SuspectChecks    bool
	IncarnationOrder bool
	Budget           bool
	DeadProbes       bool
	AntiEntropy      bool
	// DeadReportChecks makes a death report about a member that has not been
	// suspected here start a probe of it instead of taking effect at once.
	DeadReportChecks bool
	// ShortVersions switches to full records in place of versions and pulls.
	ShortVersions bool
	// EagerGossip leaves updates to ride on probes only.
	EagerGossip bool
}

// Defaults of Options.
const (
	DefaultProbeInterval     = time.Second
	DefaultAckTimeout        = 300 * time.Millisecond
	DefaultIndirectProbes    = 3
	DefaultSuspicionTimeout  = 3 * time.Second
	DefaultDeadRetention     = 2 * time.Hour
	DefaultDeadProbeInterval = 10 * time.Second
	DefaultSyncInterval      = time.Minute
	DefaultMismatchDelay     = 2 * time.Second
	DefaultPiggybackBytes    = 900
	DefaultTransmitFactor    = 3
	DefaultFanout            = 3
	DefaultBytesPerSecond    = 3000
	DefaultBurstBytes        = 16 << 10
	DefaultMaxRecordBytes    = 1300

	// remoteShare is the part of a round of local probes that goes to other failure
	// domains: one probe in four keeps the domains in touch.
	remoteShare = 4

	// TickInterval is the longest time between two ticks of a running process.
	TickInterval = 100 * time.Millisecond
	// pauseGap is the gap between two inputs after which the process counts as
	// paused: three missed ticks, the same as the ack timeout, because an ack
	// may have waited unread in the socket for that long.
	pauseGap = 300 * time.Millisecond
	// refuteGap is the pause after which the node raises its incarnation without
	// waiting to hear of a suspicion. A shorter pause cannot have cost it a probe
	// round at its peers.
	refuteGap = time.Second
	// wantRetry is the wait before a record is asked for again.
	wantRetry = 500 * time.Millisecond
	// selfInterval is the least time between two publications of the own record,
	// except for the first change after a quiet period.
	selfInterval = time.Second
	// fillRetry is the wait before a starting node tries another seed.
	fillRetry = time.Second
	// fillAttempts is the number of seeds tried before a node goes on without a
	// fill, as the first node of a fleet does. Digest mismatches repair the rest.
	fillAttempts = 5
	// mismatchSyncInterval bounds the syncs started by a digest mismatch. What they
	// cost is bounded by the debt in the send budget.
	mismatchSyncInterval = 2 * time.Second
	// startPeriod is the longest time after the start of a node in which it syncs
	// every startSyncInterval, outside of the send budget.
	startPeriod       = 10 * time.Second
	startSyncInterval = 500 * time.Millisecond
	// startRemoteShare is the inverse share of the syncs of a starting node that go
	// anywhere although its failure domain does not agree yet.
	startRemoteShare = 6
	// startEqualSyncs is the number of syncs without a difference after which a
	// starting node knows what the fleet knows.
	startEqualSyncs = 2
	// maxCorrections bounds the newer versions sent in answer to one message.
	maxCorrections = 16
	// suspicionSkew is how much earlier than the local suspicion timeout a death
	// report is believed: a suspicion reaches all members within about a second.
	suspicionSkew = time.Second
	// syncShare is the part of the send budget that pays off directory syncs.
	syncShare = 1.0 / 3
	// maxSyncDebt is the debt beyond which a node does not answer the digests of
	// others: about what one sync of a healed partition of 2,100 nodes costs.
	maxSyncDebt = 64 << 10
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
)

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.ProbeInterval, DefaultProbeInterval)
	setDefault(&o.AckTimeout, DefaultAckTimeout)
	setDefault(&o.IndirectProbes, DefaultIndirectProbes)
	setDefault(&o.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&o.DeadRetention, DefaultDeadRetention)
	setDefault(&o.DeadProbeInterval, DefaultDeadProbeInterval)
	setDefault(&o.SyncInterval, DefaultSyncInterval)
	setDefault(&o.MismatchDelay, DefaultMismatchDelay)
	setDefault(&o.PiggybackBytes, DefaultPiggybackBytes)
	setDefault(&o.TransmitFactor, DefaultTransmitFactor)
	setDefault(&o.Fanout, DefaultFanout)
	setDefault(&o.BytesPerSecond, DefaultBytesPerSecond)
	setDefault(&o.BurstBytes, DefaultBurstBytes)
	setDefault(&o.MaxRecordBytes, DefaultMaxRecordBytes)
}
