package operator

import (
	"encoding/json"
	"time"
)

// problem is the body of an administration error.
type problem struct {
	Code    problemCode
	Message string
	// Faults are the errors in a document.
	Faults []wireFault `json:",omitempty"`
	// Revision and Theirs are the version that a conflicting edit stored.
	Revision int64  `json:",omitempty"`
	Theirs   string `json:",omitempty"`
	Yours    string `json:",omitempty"`
	// Edit is the id under which to submit the edit again.
	Edit    string     `json:",omitempty"`
	RetryAt *time.Time `json:",omitempty"`
}

type wireFault struct {
	Path    string
	Found   string
	Allowed string
}

type wireDocument struct {
	Team     string
	Revision int64
}

type wireDocuments struct {
	Revision  int64
	Documents []wireDocument
}

type wireAccepted struct {
	Team     string
	Revision int64
	Edit     string
}

type wireVersion struct {
	Revision int64
	Edit     string
	At       time.Time
	Deleted  bool            `json:",omitempty"`
	Document json.RawMessage `json:",omitempty"`
}

type wireStatus struct {
	Host     string
	Revision int64
	// InForce counts the live hosts that have applied every edit up to Revision.
	InForce   int
	LiveHosts int
	// Stopping and InFlight describe the host that answers: whether it refuses new
	// requests, and how many it still serves.
	Stopping bool
	InFlight int64
	Leader   string
	Fencing  int64
	Hosts    []wireHost
	Servers  []wireServer
	Models   []wireModel
	Blocked  []wireBlocked `json:",omitempty"`
	Doubts   []wireDoubt   `json:",omitempty"`
	Moves    map[string]int
	Recent   []wireMove `json:",omitempty"`
	Suspects int
}

type wireHost struct {
	Name       string
	DataCentre string
	Region     string
	Address    string
	Live       bool
	Stopping   bool
	Revision   int64
}

type wireServer struct {
	Name     string
	Kind     string
	State    string
	Address  string
	UnderWay int64
}

type wireModel struct {
	Model      string
	Version    string
	Want       int
	Ready      int
	ReadyOther int
	Loading    int
}

type wireBlocked struct {
	Model  string
	Reason string
	Have   int
	Want   int
}

type wireDoubt struct {
	Server    string
	Order     string
	Kind      string
	WrittenAt time.Time
	Tries     int
}

type wireMove struct {
	Order  string
	At     time.Time
	Kind   string
	Model  string
	Server string
	Reason string
	// Have and Want are replicas of the model that the move is for, before the move.
	Have int
	Want int
}

type wireDrain struct {
	Stopping bool
	InFlight int64
}

type wireDecisions struct {
	// Hosts have answered. Missing have not, and their decisions are absent.
	Hosts     []string
	Missing   []string `json:",omitempty"`
	Decisions []wireDecision
}

type wireDecision struct {
	Kind    string
	At      time.Time
	Host    string
	Team    string     `json:",omitempty"`
	Request string     `json:",omitempty"`
	Attempt string     `json:",omitempty"`
	Order   string     `json:",omitempty"`
	Target  string     `json:",omitempty"`
	Class   string     `json:",omitempty"`
	Server  string     `json:",omitempty"`
	Code    string     `json:",omitempty"`
	Run     string     `json:",omitempty"`
	Message string     `json:",omitempty"`
	RetryAt *time.Time `json:",omitempty"`
	// Have and Want are set for moves: replicas of the model that the move is for,
	// before the move.
	Have *int `json:",omitempty"`
	Want *int `json:",omitempty"`
}

type wireBurn struct {
	At        time.Time
	Objective float64
	Hosts     []string
	Missing   []string `json:",omitempty"`
	Lines     []wireBurnLine
}

type wireBurnLine struct {
	Window     string
	Team       string
	Class      string
	Model      string
	Requests   int64
	InTime     int64
	Late       int64
	Refused    int64
	Failed     int64
	Share      float64
	BurnRate   float64
	BudgetLeft float64
	UsedUpBy   string
}
