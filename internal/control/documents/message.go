package documents

import (
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/store"

	"github.com/pkg/errors"
)

// Event is an input of Machine.Step.
type Event interface {
	event()
}

// CallID matches an answer to the command that made the call.
type CallID uint64

// WatchID matches the batches of a watch to the command that started it.
type WatchID uint64

// Started is the first event of a machine: from then on it sends listings and watches.
type Started struct {
	// ShouldWatch is whether this host watches the key-value service.
	ShouldWatch bool
}

// WatchAssignmentChanged sets whether this host watches the key-value service. A
// host that doesn't watch gets documents from its peers.
type WatchAssignmentChanged struct {
	ShouldWatch bool
}

// ListingRead is the successful answer to List.
type ListingRead struct {
	Call    CallID
	Listing store.Listing
}

// ListFailed is the answer to List when the key-value service is unavailable.
type ListFailed struct {
	Call CallID
}

// WatchBatchReceived is one batch of a watch, in the watch's order.
type WatchBatchReceived struct {
	Watch WatchID
	Batch store.Batch
}

// WatchEnded reports that a watch ended and changes may have been missed.
type WatchEnded struct {
	Watch WatchID
}

// EditSubmitted is an edit that an operator submits.
type EditSubmitted struct {
	// Edit identifies the edit: a second submission with the same id is the same edit.
	Edit ident.EditID
	Team ident.TeamName
	// Base is the revision that the operator read; zero if there was no document.
	Base ident.Revision
	// Text is the new document. If Delete is set, the document is deleted instead.
	Text   []byte
	Delete bool
	// IsResubmitted is set if an earlier submission may have taken effect: its
	// result was Unknown, or never came.
	IsResubmitted bool
	// Deadline is the latest time of the answer to the operator.
	Deadline time.Time
}

// SwapOutcome is what is known about a swap's effect.
type SwapOutcome int

// The outcomes of a swap; the zero value is SwapUnknown.
const (
	// SwapUnknown: the swap may have taken effect, or still may.
	SwapUnknown SwapOutcome = iota
	// SwapCompleted: the result says whether the swap took effect.
	SwapCompleted
	// SwapUnavailable: the swap did not take effect and will not.
	SwapUnavailable
)

// SwapAnswered is the answer to Swap.
type SwapAnswered struct {
	Call    CallID
	Outcome SwapOutcome
	Result  store.SwapResult
}

// NewSwapAnswered converts what the key-value client returned to an event.
func NewSwapAnswered(call CallID, result store.SwapResult, err error) SwapAnswered {
	answered := SwapAnswered{
		Call:    call,
		Outcome: SwapCompleted,
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

// ReadAnswered is the answer to Read.
type ReadAnswered struct {
	Call   CallID
	Entry  store.Entry
	Failed bool
}

// CapacityChanged has the accelerator memory of the backend servers, which all
// documents together have to fit.
type CapacityChanged struct {
	Servers []teamdoc.Server
	// ServersNotReported is the number of listed servers that should report and have not yet.
	ServersNotReported int
}

// PeerMessageReceived has a message of another host.
type PeerMessageReceived struct {
	Message Message
}

// PeerRevisionReported has the revision that another host reports as in force.
type PeerRevisionReported struct {
	Host     ident.HostID
	Revision ident.Revision
}

// PeerRemoved reports that a host is no longer part of the system.
type PeerRemoved struct {
	Host ident.HostID
}

// Tick makes the machine act on timeouts and retries that are due.
type Tick struct{}

func (Started) event()                {}
func (WatchAssignmentChanged) event() {}
func (ListingRead) event()            {}
func (ListFailed) event()             {}
func (WatchBatchReceived) event()     {}
func (WatchEnded) event()             {}
func (EditSubmitted) event()          {}
func (SwapAnswered) event()           {}
func (ReadAnswered) event()           {}
func (CapacityChanged) event()        {}
func (PeerMessageReceived) event()    {}
func (PeerRevisionReported) event()   {}
func (PeerRemoved) event()            {}
func (Tick) event()                   {}

// Command is an action that Step returns for the owner to carry out.
type Command interface {
	command()
}

// List requests all entries under a prefix.
type List struct {
	Call   CallID
	Prefix string
}

// A Watch requests a watch of a prefix from the revision after After, in place of the
// previous watch.
type Watch struct {
	Watch  WatchID
	Prefix string
	After  ident.Revision
}

// StopWatch ends the watch.
type StopWatch struct{}

// Read requests one entry by a linearizable read: a lagging replica must not answer.
type Read struct {
	Call CallID
	Key  string
}

// Swap requests a compare-and-swap.
type Swap struct {
	Call CallID
	Edit ident.EditID
	Swap store.Swap
}

// AnswerEdit is the answer to an operator's edit, one for each submission.
type AnswerEdit struct {
	Edit   ident.EditID
	Team   ident.TeamName
	Result EditResult
}

// PublishSnapshot publishes the documents that are in force from now on.
type PublishSnapshot struct {
	Snapshot *Snapshot
}

// ReportUnreadable reports a stored value that this host can't read.
type ReportUnreadable struct {
	Team     ident.TeamName
	Revision ident.Revision
	Cause    error
}

func (List) command()             {}
func (Watch) command()            {}
func (StopWatch) command()        {}
func (Read) command()             {}
func (Swap) command()             {}
func (AnswerEdit) command()       {}
func (PublishSnapshot) command()  {}
func (ReportUnreadable) command() {}

// EditResult is the result of an edit.
type EditResult interface {
	editResult()
}

// Accepted means that the edit was accepted at a revision. Later edits may have
// replaced it since.
type Accepted struct {
	Revision ident.Revision
}

// Conflict means that another edit was accepted first. The operator merges the
// two documents and submits a new edit on Revision.
type Conflict struct {
	Yours []byte
	// Theirs is empty if the document was deleted or never existed.
	Theirs   []byte
	Revision ident.Revision
}

// Refused means that the document, or all documents together, failed a check.
type Refused struct {
	Faults jsonfile.Faults
}

// Unavailable means that the edit could not be carried out and has no effect.
type Unavailable struct {
	RetryAt time.Time
	Reason  string
}

// Unknown means that the edit may have been accepted, or still may be.
type Unknown struct {
	RetryAt time.Time
}

func (Accepted) editResult()    {}
func (Conflict) editResult()    {}
func (Refused) editResult()     {}
func (Unavailable) editResult() {}
func (Unknown) editResult()     {}
