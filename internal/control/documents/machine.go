package documents

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Config configures a Machine. The zero value works.
type Config struct {
	// Seed seeds the random part of retry delays.
	Seed uint64
	// CallTimeout is how long a call may stay unanswered before the machine treats
	// its answer as lost; the owner's own timeout should be a little shorter.
	CallTimeout time.Duration
	// WatchSilence is how long a watch may deliver no batch before it counts as broken.
	WatchSilence time.Duration
	// RefreshInterval is the interval between listings that nothing else requires.
	// They help a host that missed an edit that its peers don't have either.
	RefreshInterval time.Duration
}

const (
	defaultCallTimeout     = 2 * time.Second
	defaultWatchSilence    = 5 * time.Second
	defaultRefreshInterval = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.WatchSilence = cmp.Or(c.WatchSilence, defaultWatchSilence)
	c.RefreshInterval = cmp.Or(c.RefreshInterval, defaultRefreshInterval)
	return c
}

// Machine holds the documents that are in force on one host and its operators'
// unanswered edits. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand

	teams map[ident.TeamName]*teamState
	// newestRevision is the greatest revision of any document seen.
	newestRevision ident.Revision
	// completeRevision is the revision up to which this host has every accepted
	// edit, or a later version of the same document.
	completeRevision ident.Revision
	// watchPosition is the store's revision that a listing or the watch has reached;
	// a new watch starts after it.
	watchPosition ident.Revision
	// unreadableRevisions has the revision of each team's stored value that this host
	// can't read.
	unreadableRevisions map[ident.TeamName]ident.Revision
	// summaryRevision is the revision of the summary key as it was at summaryReadAt,
	// a revision of the store.
	summaryRevision ident.Revision
	summaryReadAt   ident.Revision

	sync               syncState
	edits              []*edit
	capacity           []teamdoc.Server
	serversNotReported int
	peerRevisions      map[ident.HostID]ident.Revision

	lastCall  CallID
	lastWatch WatchID
	changed   bool
	snapshot  *Snapshot
	commands  []Command
}

// teamState is the newest version known of a team's document.
type teamState struct {
	storedDocument
	// storedValue is the encoded value in the key-value service, to send to peers.
	storedValue []byte
	// document is nil for a tombstone.
	document *document.Document
	// recentVersions are the earlier versions that this host has had in force, the
	// newest first.
	recentVersions []Version
}

// Snapshot is the set of documents in force at one moment. It is immutable.
type Snapshot struct {
	// Revision is the greatest revision among Versions.
	Revision  ident.Revision
	Documents map[ident.TeamName]*document.Document
	// Versions includes the tombstones of deleted documents.
	Versions map[ident.TeamName]Version
}

// New returns a Machine without documents.
func New(config Config) *Machine {
	return &Machine{
		config:              config.withDefaults(),
		random:              rand.New(rand.NewPCG(config.Seed, 0)),
		teams:               make(map[ident.TeamName]*teamState),
		unreadableRevisions: make(map[ident.TeamName]ident.Revision),
		peerRevisions:       make(map[ident.HostID]ident.Revision),
		snapshot:            &Snapshot{},
	}
}

// Step applies an event and returns the commands for the owner to carry out.
func (m *Machine) Step(now time.Time, event Event) []Command {
	m.commands = nil
	m.handle(now, event)
	m.processEdits(now)
	m.startListingAndWatch(now)
	m.publish()
	return m.commands
}

func (m *Machine) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case Started:
		m.handleStart(event)
	case WatchAssignmentChanged:
		m.sync.shouldWatch = event.ShouldWatch
	case ListingRead:
		m.handleListing(now, event)
	case ListFailed:
		m.handleListFailure(now, event.Call)
	case WatchBatchReceived:
		m.handleWatchBatch(now, event)
	case WatchEnded:
		m.handleWatchEnd(now, event.Watch)
	case EditSubmitted:
		m.submitEdit(now, event)
	case SwapAnswered:
		m.handleSwapAnswer(now, event)
	case ReadAnswered:
		m.handleReadAnswer(now, event)
	case CapacityChanged:
		m.capacity = event.Servers
		m.serversNotReported = event.ServersNotReported
	case PeerMessageReceived:
		m.handlePeerMessage(event.Message)
	case PeerRevisionReported:
		m.peerRevisions[event.Host] = event.Revision
	case PeerRemoved:
		delete(m.peerRevisions, event.Host)
	case Tick:
	}
}

func (m *Machine) emit(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) nextCall() CallID {
	m.lastCall++
	return m.lastCall
}

const (
	firstRetryDelay = 250 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// retryDelay returns the delay before a call is retried. It doubles with each
// failure, so that an outage doesn't cause a storm of retries, and is random, so
// that hosts don't retry at the same moment.
func (m *Machine) retryDelay(failures int) time.Duration {
	maxDelay := firstRetryDelay << min(max(failures-1, 0), 10)
	maxDelay = min(maxDelay, maxRetryDelay)
	return maxDelay/2 + time.Duration(m.random.Int64N(int64(maxDelay/2)))
}

// Snapshot returns the documents in force.
func (m *Machine) Snapshot() *Snapshot {
	return m.snapshot
}

func (m *Machine) publish() {
	if !m.changed {
		return
	}
	m.changed = false
	snapshot := &Snapshot{
		Documents: make(map[ident.TeamName]*document.Document),
		Versions:  make(map[ident.TeamName]Version),
	}
	for team, state := range m.teams {
		snapshot.Versions[team] = state.version
		snapshot.Revision = max(snapshot.Revision, state.version.Revision)
		if state.document != nil {
			snapshot.Documents[team] = state.document
		}
	}
	m.snapshot = snapshot
	m.emit(PublishSnapshot{
		Snapshot: snapshot,
	})
}
