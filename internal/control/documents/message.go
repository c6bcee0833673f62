package documents

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

// Event is what happens to a Machine.
type Event interface {
	event()
}

// CallID ties an answer to the command that asked for it.
type CallID uint64

// WatchID ties what a watch delivers to the command that began it.
type WatchID uint64

// Started begins the life of the machine.
type Started struct {
	// Watch tells whether this host watches the key-value service.
	Watch bool
}

// WatchDuty changes whether this host watches. A host that doesn't learns from
// its peers.
type WatchDuty struct {
	Watch bool
}

// ListingRead answers List.
type ListingRead struct {
	Call    CallID
	Listing store.Listing
}

// ListFailed answers List: the key-value service is unavailable.
type ListFailed struct {
	Call CallID
}

// WatchDelivered has one batch of a watch, in the order of the watch.
type WatchDelivered struct {
	Watch WatchID
	Batch store.Batch
}

// WatchBroke says that a watch ended and changes may have been missed.
type WatchBroke struct {
	Watch WatchID
}

// EditSubmitted is an operator's edit.
type EditSubmitted struct {
	// Edit names the edit; submitted again under the same id it is the same edit.
	Edit ident.EditID
	Team ident.TeamName
	// Base is the revision that the operator read; zero where there was none.
	Base ident.Revision
	// Text is the new document. With Delete the document is to go.
	Text   []byte
	Delete bool
	// Again tells that an earlier submission may have taken effect: its answer
	// was Unknown, or never came.
	Again bool
	// Deadline is when the operator has to be answered.
	Deadline time.Time
}

// SwapOutcome is what is known of a swap.
type SwapOutcome int

// The outcomes of a swap; the zero value claims nothing.
const (
	// SwapUnknown: the swap took effect, or may yet, or not.
	SwapUnknown SwapOutcome = iota
	// SwapKnown: the result says it.
	SwapKnown
	// SwapUnavailable: nothing was written and will not be.
	SwapUnavailable
)

// SwapAnswered answers Swap.
type SwapAnswered struct {
	Call    CallID
	Outcome SwapOutcome
	Result  store.SwapResult
}

// NewSwapAnswered makes the event of what the key-value client returned.
func NewSwapAnswered(call CallID, result store.SwapResult, err error) SwapAnswered {
	answered := SwapAnswered{
		Call:    call,
		Outcome: SwapKnown,
		Result:  result,
	}
	switch {
	case errors.Is(err, store.ErrUnavailable):
		answered.Outcome = SwapUnavailable
	case err != nil:
		answered.Outcome = SwapUnknown
	}
	return answered
}

// ReadAnswered answers Read.
type ReadAnswered struct {
	Call   CallID
	Entry  store.Entry
	Failed bool
}

// CapacityChanged gives the accelerator memory of the backend servers that
// documents together have to fit.
type CapacityChanged struct {
	Servers []teamdoc.Server
	// Unheard counts listed servers that are expected to report and have not yet.
	Unheard int
}

// PeerSpoke has documents from another host.
type PeerSpoke struct {
	Word Word
}

// PeerInForce has the revision that another host reports as in force.
type PeerInForce struct {
	Host     ident.HostID
	Revision ident.Revision
}

// PeerGone says that a host is no longer one of the system's.
type PeerGone struct {
	Host ident.HostID
}

// Tick lets time pass.
type Tick struct{}

func (Started) event()         {}
func (WatchDuty) event()       {}
func (ListingRead) event()     {}
func (ListFailed) event()      {}
func (WatchDelivered) event()  {}
func (WatchBroke) event()      {}
func (EditSubmitted) event()   {}
func (SwapAnswered) event()    {}
func (ReadAnswered) event()    {}
func (CapacityChanged) event() {}
func (PeerSpoke) event()       {}
func (PeerInForce) event()     {}
func (PeerGone) event()        {}
func (Tick) event()            {}

// Command is what a Machine asks of its owner.
type Command interface {
	command()
}

// List asks for all entries under a prefix.
type List struct {
	Call   CallID
	Prefix string
}

// Watch asks to watch a prefix from the revision after After, in place of any
// watch before it.
type Watch struct {
	Watch  WatchID
	Prefix string
	After  ident.Revision
}

// StopWatch ends the watch.
type StopWatch struct{}

// Read asks for one entry, as it is now: a read from a lagging replica won't do.
type Read struct {
	Call CallID
	Key  string
}

// Swap asks for a swap.
type Swap struct {
	Call CallID
	Edit ident.EditID
	Swap store.Swap
}

// AnswerEdit answers an operator's edit, once for each submission.
type AnswerEdit struct {
	Edit   ident.EditID
	Team   ident.TeamName
	Result EditResult
}

// InForce has the documents to serve from now on.
type InForce struct {
	Snapshot *Snapshot
}

// Complain names a stored value that this host can't read.
type Complain struct {
	Team     ident.TeamName
	Revision ident.Revision
	Cause    error
}

func (List) command()       {}
func (Watch) command()      {}
func (StopWatch) command()  {}
func (Read) command()       {}
func (Swap) command()       {}
func (AnswerEdit) command() {}
func (InForce) command()    {}
func (Complain) command()   {}

// EditResult is the answer to an edit.
type EditResult interface {
	editResult()
}

// Accepted says that the edit was accepted as a revision. It may have been
// followed by others.
type Accepted struct {
	Revision ident.Revision
}

// Conflict says that somebody else's edit came first. The operator merges and
// submits a new edit on Revision.
type Conflict struct {
	Yours []byte
	// Theirs is empty where the document was deleted or never was.
	Theirs   []byte
	Revision ident.Revision
}

// Refused says that the document, or all documents together, are not sound.
type Refused struct {
	Faults jsonfile.Faults
}

// Unavailable says that the edit could not be carried out and was not.
type Unavailable struct {
	RetryAt time.Time
	Reason  string
}

// Unknown says that the edit may or may not have been accepted, or may be yet.
type Unknown struct {
	RetryAt time.Time
}

func (Accepted) editResult()    {}
func (Conflict) editResult()    {}
func (Refused) editResult()     {}
func (Unavailable) editResult() {}
func (Unknown) editResult()     {}
