// Package sizes describes the installation of each user: how many hosts, engines and
// models the fleet has, the team document, and the load plan. It can be scaled down
// to what one machine can run. Package fleet starts a fleet of a Size; the load tool
// and package experiment take plans from it. All functions are safe for concurrent
// use.
//
// # Usage
//
//	size, found := sizes.ForUser("kerlouan", 0.5)
//	doc, plan := size.Document(), size.Plan()
//
// # Where the values come from
//
// Numbers of models, adapters, replicas, entry hosts and data centres are the users'
// requirements. The other values are chosen here: accelerators of 80 GiB, the
// distribution of requests over the models, their lengths, and the rate, which uses
// about half of the capacity of the engines.
package sizes

import (
	"fmt"
	"math"
	"time"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// The names of the users.
const (
	Kerlouan = "kerlouan"
	Nour     = "nour"
)

// Size describes the fleet and the load of one user.
type Size struct {
	Name   ident.TeamName
	Region ident.Region
	// DataCentres are those of Region; hosts and servers are assigned to them round
	// robin.
	DataCentres []ident.DataCentre
	Hosts       int
	Engines     int
	// Memory is that of each engine.
	Memory  unit.Bytes
	Models  []Model
	Classes []Class
	Service Service
	// RequestsPerSecond is the request rate of an ordinary day.
	RequestsPerSecond float64
	// StreamedPercent of the chats ask for a streamed answer.
	StreamedPercent int
	Timing          Timing
}

// Timing is how fast an engine is, and which times are promised to callers.
type Timing struct {
	FirstToken           time.Duration
	PerToken             time.Duration
	PromiseFirstToken    time.Duration
	PromiseBetweenTokens time.Duration
}

// Model is a model with its adapters. Weight is its share of the requests, relative to
// the other weights.
type Model struct {
	Name        ident.ModelName
	Memory      unit.Bytes
	Replicas    int
	MaxReplicas int
	Adapters    []ident.AdapterName
	Weight      float64
}

// Class is a class of callers: its share in the team document, and its weight among
// the requests.
type Class struct {
	Name   ident.ClassName
	Share  int
	Weight float64
}

// Service is the user's plain service.
type Service struct {
	Name     ident.ServiceName
	Path     string
	Replicas int
	Weight   float64
}

// Values that both users have at scale 1. They are per fleet, but mainReplicas and
// serviceReplicas are of the main model and of the plain service, and memory is per
// engine, model and adapter.
const (
	numHosts        = 7
	numEngines      = 24
	numAdapters     = 75
	mainReplicas    = 12
	serviceReplicas = 3
	engineMemory    = 80 * unit.Gibibyte
	mainMemory      = 30 * unit.Gibibyte
	otherMemory     = 20 * unit.Gibibyte
	adapterMemory   = unit.Gibibyte / 4
	// requestsPerSecondPerEngine is half of what 8 slots can serve at 150 ms an answer.
	requestsPerSecondPerEngine = 26
)

// Weights of the requests: 45 of 100 go to the main model, 45 to the other models and
// 10 to the service.
const (
	mainWeight    = 45
	othersWeight  = 45
	serviceWeight = 10
)

// defaultTiming returns the speed of the simulated engines, and promised times that an
// engine keeps unless it is overloaded.
func defaultTiming() Timing {
	return Timing{
		FirstToken:           40 * time.Millisecond,
		PerToken:             5 * time.Millisecond,
		PromiseFirstToken:    250 * time.Millisecond,
		PromiseBetweenTokens: 20 * time.Millisecond,
	}
}

// ForUser returns the size of a user, scaled. At scale 1 it matches the users' requirements.
func ForUser(user string, scale float64) (Size, bool) {
	switch user {
	case Kerlouan:
		return kerlouanSize(scale), true
	case Nour:
		return nourSize(scale), true
	}
	return Size{}, false
}

func kerlouanSize(scale float64) Size {
	size := commonSize(scale)
	size.Name = Kerlouan
	size.Region = "finistere"
	size.DataCentres = []ident.DataCentre{"brest-a", "quimper-a"}
	size.Models = makeModels("briefing", "report", 15, scale)
	size.Classes = []Class{
		{
			Name:   "Science",
			Share:  40,
			Weight: 2,
		},
		{
			Name:   "Crew",
			Share:  30,
			Weight: 5,
		},
		{
			Name:   "Landowner",
			Share:  10,
			Weight: 3,
		},
	}
	size.Service.Name = "boat-dispatch"
	size.Service.Path = "/dispatch"
	return size
}

func nourSize(scale float64) Size {
	size := commonSize(scale)
	size.Name = Nour
	size.Region = "amman"
	size.DataCentres = []ident.DataCentre{"amman-abdali", "amman-marka"}
	size.Models = makeModels("draft", "aftercare", 20, scale)
	size.Classes = []Class{
		{
			Name:   "Chair",
			Share:  50,
			Weight: 6,
		},
		{
			Name:   "Office",
			Share:  20,
			Weight: 4,
		},
	}
	size.Service.Name = "booking"
	size.Service.Path = "/reservations"
	return size
}

func commonSize(scale float64) Size {
	size := Size{
		Hosts:   scaled(numHosts, scale, 2),
		Engines: scaled(numEngines, scale, 3),
		Memory:  engineMemory,
		Service: Service{
			Replicas: scaled(serviceReplicas, scale, 2),
			Weight:   serviceWeight,
		},
		StreamedPercent: streamedPercent,
		Timing:          defaultTiming(),
	}
	size.RequestsPerSecond = float64(size.Engines * requestsPerSecondPerEngine)
	return size
}

// makeModels returns the main model and the others, whose weights decrease as 1/n.
func makeModels(first, others string, numModels int, scale float64) []Model {
	count := scaled(float64(numModels), scale, 3)
	adaptersPerModel := scaled(float64(numAdapters)/float64(numModels), scale, 1)
	all := []Model{
		{
			Name:        ident.ModelName(first),
			Memory:      mainMemory,
			Replicas:    scaled(mainReplicas, scale, 2),
			MaxReplicas: scaled(mainReplicas+2, scale, 3),
			Adapters:    adapterNames(first, adaptersPerModel),
			Weight:      mainWeight,
		},
	}
	harmonic := 0.0
	for n := 1; n < count; n++ {
		harmonic += 1 / float64(n)
	}
	for n := 1; n < count; n++ {
		name := fmt.Sprintf("%s-%02d", others, n)
		all = append(all, Model{
			Name:        ident.ModelName(name),
			Memory:      otherMemory,
			Replicas:    2,
			MaxReplicas: 3,
			Adapters:    adapterNames(name, adaptersPerModel),
			Weight:      othersWeight / harmonic / float64(n),
		})
	}
	return all
}

func adapterNames(model string, count int) []ident.AdapterName {
	names := make([]ident.AdapterName, 0, count)
	for n := range count {
		names = append(names, ident.AdapterName(fmt.Sprintf("%s-a%d", model, n+1)))
	}
	return names
}

func scaled(unscaled, scale float64, minimum int) int {
	return max(int(math.Round(unscaled*scale)), minimum)
}
