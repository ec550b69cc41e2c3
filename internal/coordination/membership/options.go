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
	// Seeds are addresses that are contacted at start and probed periodically.
	Seeds []string
	// Rand is the source of every random choice. It is required.
	Rand *rand.Rand

	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// AckTimeout is the wait for an ack before indirect probes are sent.
	AckTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on behalf of the
	// local node.
	IndirectProbes int
	// SuspicionTimeout is the time that a member has to refute a suspicion.
	SuspicionTimeout time.Duration
	// DeadRetention is how long a dead record is kept, so that a stale copy at
	// another node does not make the member alive again. It must exceed one hour,
	// because regions can be partitioned for that long.
	DeadRetention time.Duration
	// DeadProbeInterval is the time between probes of a dead member or a seed.
	// These probes reconnect the two sides after a partition has healed.
	DeadProbeInterval time.Duration
	// SyncInterval is the time between two directory syncs with a random peer.
	SyncInterval time.Duration
	// MismatchDelay is how long the directory digest must differ from the digests
	// of all peers that sent a probe or an ack, before a sync with one of them is
	// started early.
	MismatchDelay time.Duration
	// PiggybackBytes is the maximum size of the updates in one datagram.
	PiggybackBytes int
	// TransmitFactor times log2(members) is the number of times that a node sends
	// an update.
	TransmitFactor int
	// PreferLocalDomain sends most probes, updates and syncs to members of the same
	// failure domain, because traffic between regions is charged by volume. A probe
	// round covers the local domain and a few other members. A new update goes to
	// one member of any domain and otherwise to members of the local domain.
	PreferLocalDomain bool
	// Fanout is the number of peers that a new update is sent to at once.
	Fanout int
	// BytesPerSecond is the send budget in bytes per second, IP and UDP headers included.
	BytesPerSecond int
	// BurstBytes is the depth of the token bucket.
	BurstBytes int
	// MaxRecordBytes is the size of the largest full record that is sent in one
	// datagram. Larger records are sent in parts, because IP fragments a datagram
	// above the usual MTU and the loss of one fragment loses the datagram.
	MaxRecordBytes int

	// Disabled is for tests and measurements only.
	Disabled DisabledMechanisms
}

// DisabledMechanisms selects parts of the protocol that a test or a measurement switches
// off, to show which failure each of them prevents.
type DisabledMechanisms struct {
	IndirectProbes bool
	// PauseDetection is described at Core.observe.
	PauseDetection bool
	Refutation     bool
	// SuspectReprobes lets a node probe a suspect again, and extends the suspicion
	// when the suspect sends a message.
	SuspectReprobes  bool
	IncarnationOrder bool
	Budget           bool
	DeadProbes       bool
	AntiEntropy      bool
	// DeathReportProbes makes the node probe a member that is reported dead but is
	// not suspected here, instead of applying the report at once.
	DeathReportProbes bool
	// ShortVersions sends updates as versions, which receivers follow up with a
	// request for the full record. Without it, updates carry full records.
	ShortVersions bool
	// EagerGossip sends new updates at once. Without it, updates are only
	// piggybacked on probes.
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

	// probesPerRemoteProbe is the number of probes of which one goes to another
	// failure domain, with PreferLocalDomain. These probes keep the failure domains in
	// contact.
	probesPerRemoteProbe = 4

	// TickInterval is the longest time between two ticks of a running process.
	TickInterval = 100 * time.Millisecond
	// pauseGap is the gap between two inputs after which the process counts as
	// paused. It is three ticks and equals the ack timeout, because an ack may have
	// waited unread in the socket for that long.
	pauseGap = 300 * time.Millisecond
	// refuteGap is the pause after which the node raises its incarnation without
	// waiting for a report that it is suspected. During a shorter pause no probe of
	// a peer can have timed out.
	refuteGap = time.Second
	// recordRequestRetry is the wait before a record is requested again.
	recordRequestRetry = 500 * time.Millisecond
	// publishInterval is the minimum time between two publications of the local
	// record. A change after a quiet period is published at once.
	publishInterval = time.Second
	// fillRetry is the wait before a starting node tries to fill its directory from
	// another seed.
	fillRetry = time.Second
	// fillAttempts is the number of seeds tried before a node starts with an empty
	// directory, as the first node of a fleet does. Syncs after digest mismatches
	// then complete the directory.
	fillAttempts = 5
	// mismatchSyncInterval is the minimum time between two syncs that are started
	// by a digest mismatch. Their traffic is bounded by the debt in the send budget.
	mismatchSyncInterval = 2 * time.Second
	// startPeriod is the time after the start of a node in which it may sync every
	// startSyncInterval and in which syncs are not charged to the send budget.
	startPeriod       = 10 * time.Second
	startSyncInterval = 500 * time.Millisecond
	// startSyncsPerRemoteSync is the number of syncs of a starting node of which
	// one may go to any failure domain while its own domain does not agree yet.
	startSyncsPerRemoteSync = 6
	// startEqualSyncs is the number of consecutive syncs without a difference after
	// which a starting node considers its directory complete.
	startEqualSyncs = 2
	// maxCorrections is the maximum number of newer versions that are sent in answer
	// to one message.
	maxCorrections = 16
	// deathReportTolerance is how long before the end of the local suspicion timeout a
	// death report is accepted. The reporter may have begun its suspicion earlier,
	// because a suspicion takes about a second to reach all members.
	deathReportTolerance = time.Second
	// syncShare is the share of the send budget that pays off the debt of directory
	// syncs.
	syncShare = 1.0 / 3
	// maxSyncDebt is the debt from which a node does not compare the digests of other
	// nodes. It is about the cost of one sync after a partition of 2,100 nodes has
	// healed.
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
