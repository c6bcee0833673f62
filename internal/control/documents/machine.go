package documents

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
)

// Config has what a machine is told at its start. The zero value works.
type Config struct {
	// Seed feeds all random choices: pauses before a call is tried again.
	Seed uint64
	// CallTimeout is how long a call may stay unanswered before the machine
	// takes its answer for lost; the owner should give up a little earlier.
	CallTimeout time.Duration
	// WatchSilence is how long a watch may give no sign of life.
	WatchSilence time.Duration
	// Refresh is between two listings while nothing else asks for one: the way out
	// for a host that missed an edit and whose peers know no more.
	Refresh time.Duration
}

const (
	defaultCallTimeout  = 2 * time.Second
	defaultWatchSilence = 5 * time.Second
	defaultRefresh      = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.WatchSilence = cmp.Or(c.WatchSilence, defaultWatchSilence)
	c.Refresh = cmp.Or(c.Refresh, defaultRefresh)
	return c
}

// Machine decides which documents are in force on one host.
type Machine struct {
	config Config
	random *rand.Rand

	teams map[ident.TeamName]*held
	// newest is the greatest revision of any document seen.
	newest ident.Revision
	// complete is the revision of an accepted edit: that edit and every one before
	// it are held here, or later versions in their place.
	complete ident.Revision
	// position is the revision of the whole service up to which a listing or the
	// watch has gone.
	position ident.Revision
	// unreadable has values that this host can't read, by their revision.
	unreadable map[ident.TeamName]ident.Revision
	// summary is the revision of the summary key, as known at summaryAt.
	summary   ident.Revision
	summaryAt ident.Revision

	sync     syncState
	edits    []*edit
	capacity []teamdoc.Server
	unheard  int
	peers    map[ident.HostID]ident.Revision

	lastCall  CallID
	lastWatch WatchID
	changed   bool
	snapshot  *Snapshot
	commands  []Command
}

// held is the newest version known of a team's document.
type held struct {
	stored
	// value is what stands in the key-value service, to pass on to peers.
	value []byte
	// document is nil for a tombstone.
	document *document.Document
	// seen are versions before this one that passed through this host, the
	// newest first.
	seen []Version
}

// Snapshot is the documents in force at one moment. It never changes.
type Snapshot struct {
	// Revision is the greatest revision among Versions.
	Revision  ident.Revision
	Documents map[ident.TeamName]*document.Document
	// Versions has the tombstones of deleted documents as well.
	Versions map[ident.TeamName]Version
}

// New makes a machine that holds nothing yet.
func New(config Config) *Machine {
	return &Machine{
		config:     config.withDefaults(),
		random:     rand.New(rand.NewPCG(config.Seed, 0)),
		teams:      make(map[ident.TeamName]*held),
		unreadable: make(map[ident.TeamName]ident.Revision),
		peers:      make(map[ident.HostID]ident.Revision),
		snapshot:   &Snapshot{},
	}
}

// Step takes an event and gives what is to be done about it.
func (m *Machine) Step(now time.Time, event Event) []Command {
	m.commands = nil
	m.handle(now, event)
	m.pumpEdits(now)
	m.keepInSync(now)
	m.publish()
	return m.commands
}

func (m *Machine) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case Started:
		m.start(event)
	case WatchDuty:
		m.sync.duty = event.Watch
	case ListingRead:
		m.listingRead(now, event)
	case ListFailed:
		m.listFailed(now, event.Call)
	case WatchDelivered:
		m.watchDelivered(now, event)
	case WatchBroke:
		m.watchBroke(now, event.Watch)
	case EditSubmitted:
		m.submit(now, event)
	case SwapAnswered:
		m.swapAnswered(now, event)
	case ReadAnswered:
		m.readAnswered(now, event)
	case CapacityChanged:
		m.capacity = event.Servers
		m.unheard = event.Unheard
	case PeerSpoke:
		m.peerSpoke(event.Word)
	case PeerInForce:
		m.peers[event.Host] = event.Revision
	case PeerGone:
		delete(m.peers, event.Host)
	case Tick:
	}
}

func (m *Machine) do(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) nextCall() CallID {
	m.lastCall++
	return m.lastCall
}

const (
	firstPause   = 250 * time.Millisecond
	longestPause = 5 * time.Second
)

// pause is the time before a call is tried again. It doubles, so that an outage
// is not met with a storm, and is random, so that hosts don't come in step.
func (m *Machine) pause(failures int) time.Duration {
	longest := firstPause << min(max(failures-1, 0), 10)
	longest = min(longest, longestPause)
	return longest/2 + time.Duration(m.random.Int64N(int64(longest/2)))
}

// Snapshot gives the documents in force.
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
	for team, h := range m.teams {
		snapshot.Versions[team] = h.version
		snapshot.Revision = max(snapshot.Revision, h.version.Revision)
		if h.document != nil {
			snapshot.Documents[team] = h.document
		}
	}
	m.snapshot = snapshot
	m.do(InForce{
		Snapshot: snapshot,
	})
}
